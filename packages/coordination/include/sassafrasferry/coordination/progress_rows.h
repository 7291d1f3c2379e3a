// Divides the stored progress of a job into rows that the store takes.
//
// The progress of most jobs is one row. The row of a job with many tasks that have failed or have a
// checkpoint can exceed the store's limit; then the job's own row keeps the state and the bits of
// finished tasks, and the tasks' entries go into pieces, rows of consecutive tasks each.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/store/part_rows.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Key of the piece whose first task has this position in the job. It sorts after the job's own key
/// and outside the range of keys that a query for the job reads.
std::string pieceKey(const std::string &job, std::size_t firstTask);

struct PieceKey
{
    std::string job;
    std::size_t firstTask = 0;
};
/// Nothing if the key is not that of a piece.
std::optional<PieceKey> parsePieceKey(const std::string &key);

/// The pieces of one job.
///
/// Invariant: a task's entry is in the piece with the largest first task that isn't beyond the
/// task. A piece that grows too large is divided; pieces are never joined, so that a change of one
/// task changes one row.
class ProgressPieces
{
public:
    /// `generation`: tells these pieces from those of an earlier division of the same job.
    explicit ProgressPieces(std::uint64_t generation);
    /// Pieces that an earlier leader stored.
    ProgressPieces(std::uint64_t generation, const std::vector<std::size_t> &firstTasks);

    /// The rows to write, the job's own row last. They are:
    /// - pieces with an entry that an end of a run has changed, `endedTasks` (positions);
    /// - pieces that differ from what was written `refreshPause` ago or earlier, because of
    ///   checkpoints of runs that go on.
    /// Once all of these are written, the store holds every change that ends of runs have made.
    std::vector<store::PartPut> putsFor(const std::string &job, const messages::JobProgress &whole,
                                        const std::vector<std::size_t> &endedTasks,
                                        const store::RowLimits &limits, Instant now);

    /// Writes all pieces anew next time.
    void forgetWritten();
    /// Checkpoints that no row can hold, left out since the last call.
    std::size_t takeOmittedCheckpoints();
    std::vector<std::string> keysOf(const std::string &job) const;

    static constexpr Duration refreshPause = std::chrono::seconds(2);

private:
    struct Piece
    {
        std::uint64_t hash = 0; ///< of the value that was written last
        std::optional<Instant> writtenAt;
    };
    using Entries = std::vector<messages::TaskProgress>;

    Entries entriesThatFit(const messages::JobProgress &whole, const store::RowLimits &limits);
    void divideLargePieces(const Entries &entries, const store::RowLimits &limits);

    std::uint64_t generation;
    std::map<std::size_t, Piece> pieces; // by first task
    std::size_t omittedCheckpoints = 0;
};

/// A row in the store that belongs to no job's progress any more.
struct StaleRow
{
    std::string part;
    std::string key;
};

/// Joins the rows of jobs that earlier leaders have stored, in one row or in pieces.
class StoredProgress
{
public:
    /// False if the row can't be read.
    bool add(const store::PartRow &row);

    /// The pieces of jobs that have not ended, by job.
    std::map<std::string, ProgressPieces> pieces() const;
    /// Pieces of jobs that have ended, and those of an earlier division, which a version that knows
    /// no pieces or a leader that was lost while it wrote has left.
    std::vector<StaleRow> staleRows() const;
    /// Progress of all jobs, by job, with the entries of their pieces. Leaves this object empty.
    std::map<std::string, messages::JobProgress> takeJoined();

private:
    struct Piece
    {
        std::size_t firstTask = 0;
        std::string part;
        messages::JobProgress row;
    };

    bool isPieceOf(const std::string &job, const Piece &piece) const;

    std::map<std::string, messages::JobProgress> rows; // by job
    std::map<std::string, std::string> partsOfDivided; // by job: part of its own row
    std::map<std::string, std::vector<Piece>> pieceRows; // by job
};

} // namespace sassafrasferry::coordination
