// Finds the VMs of a pool that have to stay and take work so that each waiting task has a place.
#include <sassafrasferry/scheduling/task_places.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

bool isMostlyIdle(const std::vector<Place> &places)
{
    Resources capacity;
    Resources room;
    for (const auto &place : places) {
        capacity += place.capacity;
        room += place.room;
    }
    return room.cpu * 2 > capacity.cpu && room.memory * 2 > capacity.memory;
}

bool isPreferred(const Place &a, const Place &b)
{
    const auto rank = [](const Place &place) {
        return std::make_tuple(place.canLeave, place.cordoned, place.capacity.cpu,
                               place.capacity.memory, place.vm);
    };
    return rank(a) < rank(b);
}

struct Fit
{
    std::vector<const Place *> places; ///< empty if tasks are left
    std::size_t lacking = 0; ///< tasks that are left
};

Fit fitTogether(const PlaceNeed &need, const std::vector<Place> &places, Resources Place::*room,
                bool onlyWorking)
{
    Fit fit;
    fit.lacking = need.together;
    for (const auto &place : places) {
        if (onlyWorking && !place.takesWork)
            continue;
        const auto count = tasksThatFit(need, place.*room, place.labels);
        if (count == 0)
            continue;
        fit.places.push_back(&place);
        fit.lacking -= std::min(fit.lacking, count);
        if (fit.lacking == 0)
            return fit;
    }
    fit.places.clear();
    return fit;
}

} // namespace

void sortNeeds(std::vector<PlaceNeed> &needs)
{
    std::sort(needs.begin(), needs.end(),
              [](const PlaceNeed &a, const PlaceNeed &b) { return b.key() < a.key(); });
    needs.erase(
        std::unique(needs.begin(), needs.end(),
                    [](const PlaceNeed &a, const PlaceNeed &b) { return a.key() == b.key(); }),
        needs.end());
}

std::size_t tasksThatFit(const PlaceNeed &need, const Resources &room,
                         const std::vector<std::string> &labels)
{
    const bool hasLabel =
        need.label.empty() || std::find(labels.begin(), labels.end(), need.label) != labels.end();
    if (!hasLabel)
        return 0;
    auto most = need.perVmLimit > 0 ? std::min(need.perVmLimit, need.together) : need.together;
    const auto limitBy = [&](std::int64_t task, std::int64_t free) {
        if (task > 0)
            most = std::min(most, static_cast<std::size_t>(std::max<std::int64_t>(free, 0) / task));
    };
    limitBy(need.task.cpu, room.cpu);
    limitBy(need.task.memory, room.memory);
    limitBy(need.task.accelerators, room.accelerators);
    return most;
}

PlaceChoice choosePlaces(const std::vector<PlaceNeed> &needs, std::vector<Place> places)
{
    PlaceChoice choice;
    const bool mostlyIdle = isMostlyIdle(places);
    std::sort(places.begin(), places.end(), isPreferred);
    std::vector<const PlaceNeed *> placed; // of single tasks that any VM may run
    for (const auto &need : needs) {
        const bool isPlain = need.label.empty() && need.together == 1;
        const auto coversNeed = [&](const PlaceNeed *larger) {
            return need.task.fitsIn(larger->task) && larger->isJobIdle >= need.isJobIdle;
        };
        if (isPlain && std::any_of(placed.begin(), placed.end(), coversNeed))
            continue;
        const auto room = need.isJobIdle && mostlyIdle ? &Place::room : &Place::roomAfterEnds;
        auto fit = fitTogether(need, places, room, true);
        if (fit.lacking > 0)
            fit = fitTogether(need, places, room, false);
        for (const auto *place : fit.places) {
            if (place->canLeave)
                choice.kept.insert(place->vm);
        }
        if (fit.lacking > 0)
            choice.unplaced.push_back({need, fit.lacking});
        else if (isPlain)
            placed.push_back(&need);
    }
    return choice;
}

} // namespace sassafrasferry::scheduling
