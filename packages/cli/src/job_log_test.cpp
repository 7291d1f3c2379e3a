// Derives findings from sample lines in the format that the scheduler logs.
#include "job_log.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace sassafrasferry::cli;

namespace {

struct Case
{
    std::string name;
    std::string log;
    std::size_t lines;
    std::vector<std::string> findings;
};

const std::vector<Case> cases{
    {"refused",
     "I1 job_node.h:197] event=submit job=a1 queue=q outcome=refused ms=0.1 config=10\n"
     "I1 job_node.h:197] event=submit job=b2 queue=q outcome=stored ms=9 config=10\n",
     1,
     {"refused 1 times: the store did not accept jobs, and nothing was stored"}},
    {"delayed by lack of capacity",
     "t=100 event=job of=a1 queue=q service=s steps=1 tasks=2 lasting=0\n"
     "I1 leader.h:1] event=load service=s workers=3 free=0\n"
     "I1 leader.h:1] event=load service=other workers=3 free=9\n"
     "t=2100 event=start of=a1.0.0.0 run=1 worker=w1 room=1 left=1\n"
     "I1 leader.h:1] event=load service=s workers=3 free=0\n"
     "t=3100 event=end of=a1.0.0.0 run=1 worker=w1 how=done\n"
     "t=3100 event=job-end of=a1 state=completed\n",
     5,
     {"its first task waited 2000 ms to start; see the load lines for the cause",
      "ended: completed"}},
    {"failed across a takeover",
     "t=100 event=job of=a1 queue=q service=s steps=1 tasks=1 lasting=0\n"
     "t=110 event=start of=a1.0.0.0 run=1 worker=w1 room=1 left=1\n"
     "t=900 event=end of=a1.0.0.0 run=1 worker=w1 how=failed\n"
     "I1 leadership.h:1] event=lead fence=9 term=2 predecessor-stopped=0\n"
     "t=100 event=job of=a1 queue=q service=s steps=1 tasks=1 lasting=0\n"
     "t=120 event=start of=a1.0.0.0 run=2001 worker=w2 room=1 left=1\n"
     "t=400 event=end of=a1.0.0.0 run=2001 worker=w2 how=failed\n"
     "t=400 event=job-end of=a1 state=failed\n",
     8,
     {"2 leaders managed the job one after another", "2 of 2 runs failed, on 2 workers",
      "ended: failed"}},
    {"another job whose id has this id as a prefix",
     "t=1 event=start of=a12.0.0.0 run=1 worker=w\n",
     0,
     {}},
};

} // namespace

TEST_CASE("The history of a job is extracted from a log")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    std::istringstream log(row.log);
    const auto history = readJobHistory(log, "a1");
    CHECK(history.lines.size() == row.lines);
    CHECK(history.findings == row.findings);
}
