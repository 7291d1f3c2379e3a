// Loans end by themselves.
#include <sassafrasferry/policy/loans.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

TEST_CASE("loans add up and end at their term")
{
    const Instant start{};
    LoanBook book;
    book.add(2, start + 1s, start);
    book.add(1, start + 2s, start);
    CHECK(book.slots(start) == 3);
    CHECK(book.slots(start + 1s) == 1);
    book.add(4, start + 3s, start + 2s);
    CHECK(book.slots(start + 2s) == 4);
    CHECK(book.slots(start + 3s) == 0);
}
