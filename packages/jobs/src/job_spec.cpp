// Validation of job specifications, and conversion to and from stored records.
#include <sassafrasferry/jobs/job_spec.h>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::jobs {

bool Resources::fitsIn(const Resources &room) const
{
    return this->cpu <= room.cpu && this->memory <= room.memory
           && this->accelerators <= room.accelerators;
}

Resources &Resources::operator+=(const Resources &other)
{
    this->cpu += other.cpu;
    this->memory += other.memory;
    this->accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    this->cpu -= other.cpu;
    this->memory -= other.memory;
    this->accelerators -= other.accelerators;
    return *this;
}

Resources StepSpec::footprint() const
{
    auto room = this->need;
    if (this->filler)
        room.cpu = 0;
    return room;
}

std::size_t JobSpec::occurrences() const
{
    return std::max<std::size_t>(this->repetitions, 1);
}

std::size_t JobSpec::tasksPerOccurrence() const
{
    std::size_t tasks = 0;
    for (const auto &step : this->steps)
        tasks += step.count;
    return tasks;
}

bool JobSpec::isLasting() const
{
    for (const auto &step : this->steps) {
        if (step.lasting)
            return true;
    }
    return false;
}

model::Findings findProblems(const JobSpec &job)
{
    model::Findings findings;
    const auto find = [&](std::string key, std::string message) {
        if (findings.size() < maxFindings)
            findings.push_back({{}, std::move(key), std::move(message)});
    };
    if (job.steps.empty())
        find("steps", "must hold at least one step");
    if (job.steps.size() > maxSteps)
        find("steps", absl::StrCat("must hold at most ", maxSteps, " steps"));
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto &step = job.steps[i];
        const auto key = absl::StrCat("steps.", i, ".");
        if (step.count == 0)
            find(key + "count", "must be at least 1");
        if (step.need.cpu < 0 || step.need.memory < 0 || step.need.accelerators < 0)
            find(key + "cpu", "must not be negative");
        for (const auto before : step.after) {
            if (before >= i)
                find(key + "after", absl::StrCat("step ", before, " does not come before it"));
        }
    }
    if (job.repetitions > 0 && job.firstDue <= 0)
        find("start", "a repeated job needs the time of its first occurrence");
    if (job.steps.size() <= maxSteps
        && (job.tasksPerOccurrence() > maxTasks || job.occurrences() > maxTasks
            || job.tasksPerOccurrence() * job.occurrences() > maxTasks))
        find("steps", absl::StrCat("must hold at most ", maxTasks, " tasks in all"));
    return findings;
}

void toRecord(const JobSpec &job, messages::JobRecord &record)
{
    record.set_payload(job.payload);
    record.set_repetitions(static_cast<std::uint32_t>(job.repetitions));
    record.set_first_due_milliseconds(job.firstDue);
    record.set_interval_milliseconds(job.interval.count());
    for (const auto &step : job.steps) {
        auto &row = *record.add_steps();
        row.set_count(static_cast<std::uint32_t>(step.count));
        row.set_cpu_millicores(static_cast<std::uint32_t>(step.need.cpu));
        row.set_memory_megabytes(static_cast<std::uint32_t>(step.need.memory));
        row.set_accelerators(static_cast<std::uint32_t>(step.need.accelerators));
        row.set_estimate_milliseconds(static_cast<std::uint32_t>(step.estimate.count()));
        for (const auto before : step.after)
            row.add_after(static_cast<std::uint32_t>(before));
        row.set_gang(step.gang);
        row.set_same_rack(step.sameRack);
        row.set_required_label(step.requiredLabel);
        row.set_data_rack(step.dataRack);
        row.set_per_vm_limit(static_cast<std::uint32_t>(step.perVmLimit));
        row.set_speculative(step.speculative);
        row.set_lasting(step.lasting);
        row.set_checkpointing(step.checkpointing);
        row.set_image(step.image);
        row.set_tail_target_milliseconds(static_cast<std::uint32_t>(step.tailTarget.count()));
        row.set_filler(step.filler);
        row.set_max_unavailable(static_cast<std::uint32_t>(step.maxUnavailable));
    }
}

JobSpec specFrom(const messages::JobRecord &record)
{
    JobSpec job;
    job.payload = record.payload();
    job.repetitions = record.repetitions();
    job.firstDue = record.first_due_milliseconds();
    job.interval = Milliseconds(record.interval_milliseconds());
    for (const auto &row : record.steps()) {
        StepSpec step;
        step.count = row.count();
        step.need = {row.cpu_millicores(), row.memory_megabytes(), row.accelerators()};
        step.estimate = Milliseconds(row.estimate_milliseconds());
        step.after.assign(row.after().begin(), row.after().end());
        step.gang = row.gang();
        step.sameRack = row.same_rack();
        step.requiredLabel = row.required_label();
        step.dataRack = row.data_rack();
        step.perVmLimit = row.per_vm_limit();
        step.speculative = row.speculative();
        step.lasting = row.lasting();
        step.checkpointing = row.checkpointing();
        step.image = row.image();
        step.tailTarget = Milliseconds(row.tail_target_milliseconds());
        step.filler = row.filler();
        step.maxUnavailable = row.max_unavailable();
        job.steps.push_back(std::move(step));
    }
    return job;
}

} // namespace sassafrasferry::jobs
