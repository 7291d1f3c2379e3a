// Log lines about the leader's scheduling decisions and the load of services.
#include <sassafrasferry/coordination/decision_log.h>

#include <absl/strings/str_cat.h>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

namespace {

constexpr double loggedShareOfCap = 0.8;

} // namespace

void logTakeover(const Tenure &tenure, const scheduling::SchedulerTimes &times)
{
    using std::chrono::milliseconds;
    LOG(INFO) << "event=takeover term=" << tenure.term
              << " survey-ms=" << times.surveyTime / milliseconds(1)
              << " inherited-lease-ms=" << times.inheritedLease / milliseconds(1);
}

void logRound(const std::vector<scheduling::DecisionNote> &notes, Instant at,
              const RoundKnowledge &knowledge)
{
    if (notes.empty())
        return;
    const auto time = at.time_since_epoch() / std::chrono::milliseconds(1);
    auto lines =
        absl::StrCat("event=round notes=", notes.size(),
                     " confirmed-ms=", knowledge.sinceConfirmed / std::chrono::milliseconds(1),
                     " intake-age-ms=", knowledge.intakeAge / std::chrono::milliseconds(1));
    for (const auto &note : notes)
        absl::StrAppend(&lines, "\nt=", time, " event=", note.event, " of=", note.subject, " ",
                        note.detail);
    LOG(INFO) << lines;
}

void logLoads(const std::map<std::string, scheduling::ServiceLoad> &loads)
{
    for (const auto &entry : loads) {
        const auto &load = entry.second;
        LOG(INFO) << "event=load service=" << entry.first << " workers=" << load.workers
                  << " jobs=" << load.jobs << " cpu=" << load.capacity.cpu
                  << " free=" << load.room.cpu << " lasting=" << load.lasting.cpu
                  << " running=" << load.running.cpu << " ready=" << load.ready.cpu
                  << " capped=" << load.capped.cpu << " ready-core-s=" << load.readySeconds
                  << " on-time-core-s=" << load.onTimeSeconds << " late-core-s=" << load.lateSeconds
                  << " expired-core-s=" << load.expiredSeconds
                  << " servable-core-s=" << load.servableSeconds;
    }
}

void logLeaderLoop(const LoopFigures &figures, const LeaderProgress &progress)
{
    using std::chrono::milliseconds;
    LOG(INFO) << "event=leader-loop ready=" << progress.isReady
              << " confirmed-ms=" << progress.sinceConfirmed / milliseconds(1)
              << " delay-ms=" << figures.maxDelay / milliseconds(1) << " rounds=" << figures.rounds
              << " rounds-ms=" << figures.roundTime / milliseconds(1)
              << " max-round-ms=" << figures.maxRound / milliseconds(1)
              << " intake-rows=" << progress.intakeRows
              << " intake-version=" << progress.intakeVersion
              << " lease-version=" << progress.leaseVersion;
}

void logCustomerUsage(const scheduling::CustomerUsage &usage)
{
    for (const auto &entry : usage.entries()) {
        const auto logged = loggedShareOfCap * static_cast<double>(entry.cap.cpu);
        if (entry.cap.cpu > 0 && static_cast<double>(entry.used.cpu) >= logged)
            LOG(INFO) << "event=customer-near-cap customer=" << entry.customer
                      << " cpu=" << entry.used.cpu << " cap-cpu=" << entry.cap.cpu
                      << " memory-mb=" << entry.used.memory
                      << " cap-memory-mb=" << entry.cap.memory;
    }
}

} // namespace sassafrasferry::coordination
