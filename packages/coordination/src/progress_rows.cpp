// Divides the stored progress of a job into rows that the store takes.
#include <sassafrasferry/coordination/progress_rows.h>

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/jobs/job.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace sassafrasferry::coordination {

namespace {

constexpr char pieceMark = '+'; // not a character of job ids; sorts after the cancellation's mark
// A piece may double before it has to be divided again.
constexpr std::size_t piecesPerRow = 4;

std::size_t bytesOf(const messages::TaskProgress &entry)
{
    constexpr std::size_t frame = 6; // tag and length in the row
    return entry.ByteSizeLong() + frame;
}

messages::JobProgress emptyPiece(std::uint64_t generation)
{
    // Leaders of earlier versions take a piece for the unfinished row of a job that they don't
    // know.
    messages::JobProgress piece;
    piece.set_state(static_cast<std::uint32_t>(jobs::JobState::Running));
    piece.set_pieces(generation);
    return piece;
}

bool isBefore(const messages::TaskProgress &entry, std::size_t task)
{
    return entry.task() < task;
}

} // namespace

std::string pieceKey(const std::string &job, std::size_t firstTask)
{
    return absl::StrFormat("%s%c%06d", job, pieceMark, firstTask);
}

std::optional<PieceKey> parsePieceKey(const std::string &key)
{
    const auto mark = key.find(pieceMark);
    PieceKey parsed;
    if (mark == std::string::npos || !absl::SimpleAtoi(key.substr(mark + 1), &parsed.firstTask))
        return std::nullopt;
    parsed.job = key.substr(0, mark);
    return parsed;
}

ProgressPieces::ProgressPieces(std::uint64_t generation)
    : ProgressPieces(generation, {0})
{}

ProgressPieces::ProgressPieces(std::uint64_t generation, const std::vector<std::size_t> &firstTasks)
    : generation(generation)
    , pieces{{0, {}}}
{
    for (const auto first : firstTasks)
        this->pieces[first] = {};
}

void ProgressPieces::forgetWritten()
{
    for (auto &piece : this->pieces)
        piece.second = {};
}

std::size_t ProgressPieces::takeOmittedCheckpoints()
{
    return std::exchange(this->omittedCheckpoints, 0);
}

std::vector<std::string> ProgressPieces::keysOf(const std::string &job) const
{
    std::vector<std::string> keys;
    for (const auto &piece : this->pieces)
        keys.push_back(pieceKey(job, piece.first));
    return keys;
}

ProgressPieces::Entries ProgressPieces::entriesThatFit(const messages::JobProgress &whole,
                                                       const store::RowLimits &limits)
{
    const auto room = limits.valueBytes - emptyPiece(this->generation).ByteSizeLong();
    Entries entries(whole.tasks().begin(), whole.tasks().end());
    for (auto &entry : entries) {
        if (bytesOf(entry) <= room)
            continue;
        entry.clear_checkpoint();
        ++this->omittedCheckpoints;
    }
    return entries;
}

void ProgressPieces::divideLargePieces(const Entries &entries, const store::RowLimits &limits)
{
    for (auto at = this->pieces.begin(); at != this->pieces.end();) {
        const auto next = std::next(at);
        auto begin = std::lower_bound(entries.begin(), entries.end(), at->first, isBefore);
        const auto end = next == this->pieces.end()
                             ? entries.end()
                             : std::lower_bound(begin, entries.end(), next->first, isBefore);
        std::size_t bytes = 0;
        for (auto entry = begin; entry != end; ++entry)
            bytes += bytesOf(*entry);
        if (bytes <= limits.valueBytes / piecesPerRow || end - begin < 2) {
            at = next;
            continue;
        }
        // The first half may be too large still and is looked at again.
        this->pieces[(begin + (end - begin) / 2)->task()] = {};
        at->second = {};
    }
}

std::vector<store::PartPut> ProgressPieces::putsFor(const std::string &job,
                                                    const messages::JobProgress &whole,
                                                    const std::vector<std::size_t> &endedTasks,
                                                    const store::RowLimits &limits, Instant now)
{
    const auto entries = this->entriesThatFit(whole, limits);
    this->divideLargePieces(entries, limits);
    std::set<std::size_t> changedByEnds;
    for (const auto task : endedTasks)
        changedByEnds.insert(std::prev(this->pieces.upper_bound(task))->first);
    std::vector<store::PartPut> puts;
    // A divided piece still holds the entries of its second half in the store until it is written.
    // The second half is written before, and goes first where both have an entry.
    auto end = entries.end();
    for (auto at = this->pieces.rbegin(); at != this->pieces.rend(); ++at) {
        const auto begin = std::lower_bound(entries.begin(), end, at->first, isBefore);
        auto &piece = at->second;
        const bool isDue = changedByEnds.count(at->first) != 0 || !piece.writtenAt
                           || now - *piece.writtenAt >= refreshPause;
        if (isDue) {
            auto row = emptyPiece(this->generation);
            for (auto entry = begin; entry != end; ++entry)
                *row.add_tasks() = *entry;
            auto value = row.SerializeAsString();
            const auto hash = XXH3_64bits(value.data(), value.size());
            if (!piece.writtenAt || hash != piece.hash)
                puts.push_back({table::progress, pieceKey(job, at->first), std::move(value)});
            piece = {hash, now};
        }
        end = begin;
    }
    auto own = whole;
    own.clear_tasks();
    own.set_pieces(this->generation);
    puts.push_back({table::progress, job, own.SerializeAsString()});
    return puts;
}

bool StoredProgress::add(const store::PartRow &row)
{
    messages::JobProgress progress;
    if (!progress.ParseFromString(row.value))
        return false;
    if (const auto piece = parsePieceKey(row.key)) {
        this->pieceRows[piece->job].push_back({piece->firstTask, row.part, std::move(progress)});
        return true;
    }
    if (progress.pieces() != 0)
        this->partsOfDivided[row.key] = row.part;
    this->rows[row.key] = std::move(progress);
    return true;
}

bool StoredProgress::isPieceOf(const std::string &job, const Piece &piece) const
{
    const auto own = this->rows.find(job);
    const auto part = this->partsOfDivided.find(job);
    return own != this->rows.end() && part != this->partsOfDivided.end()
           && part->second == piece.part && own->second.pieces() == piece.row.pieces()
           && !jobs::isFinal(static_cast<jobs::JobState>(own->second.state()));
}

std::map<std::string, ProgressPieces> StoredProgress::pieces() const
{
    std::map<std::string, ProgressPieces> pieces;
    for (const auto &job : this->pieceRows) {
        std::vector<std::size_t> firstTasks;
        for (const auto &piece : job.second) {
            if (this->isPieceOf(job.first, piece))
                firstTasks.push_back(piece.firstTask);
        }
        if (!firstTasks.empty())
            pieces.emplace(job.first,
                           ProgressPieces(this->rows.at(job.first).pieces(), firstTasks));
    }
    return pieces;
}

std::vector<StaleRow> StoredProgress::staleRows() const
{
    std::vector<StaleRow> stale;
    for (const auto &job : this->pieceRows) {
        for (const auto &piece : job.second) {
            if (!this->isPieceOf(job.first, piece))
                stale.push_back({piece.part, pieceKey(job.first, piece.firstTask)});
        }
    }
    return stale;
}

std::map<std::string, messages::JobProgress> StoredProgress::takeJoined()
{
    for (auto &job : this->pieceRows) {
        auto &pieces = job.second;
        // Of two entries of a task the one in the later piece is the newer one.
        std::sort(pieces.begin(), pieces.end(),
                  [](const Piece &a, const Piece &b) { return a.firstTask < b.firstTask; });
        for (const auto &piece : pieces) {
            if (this->isPieceOf(job.first, piece))
                this->rows.at(job.first).mutable_tasks()->MergeFrom(piece.row.tasks());
        }
    }
    this->pieceRows.clear();
    this->partsOfDivided.clear();
    return std::exchange(this->rows, {});
}

} // namespace sassafrasferry::coordination
