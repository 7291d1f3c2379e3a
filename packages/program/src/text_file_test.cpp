#include <sassafrasferry/program/text_file.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace sassafrasferry;
using namespace sassafrasferry::program;

namespace {

/// A temporary file that the destructor removes.
struct ScratchFile
{
    explicit ScratchFile(const std::string &text)
        : path(std::filesystem::temp_directory_path()
               / ("text-file-test-" + std::to_string(::getpid())))
    {
        std::ofstream(this->path) << text;
    }

    ~ScratchFile()
    {
        std::filesystem::remove(this->path);
    }

    std::string path;
};

} // namespace

TEST_CASE("The whole settings file is parsed and the findings of its parser are returned")
{
    const ScratchFile file("a\nb\n");
    const auto read = readSettings(
        file.path, [](const std::string &text, const std::string &path, model::Findings &findings) {
            findings.push_back({{path, 2, 1}, "b", "is not known"});
            return text.size();
        });
    CHECK(read.settings == 4);
    CHECK(read.findings.size() == 1);
}

TEST_CASE("An unreadable settings file gives a finding and is not parsed")
{
    bool parsed = false;
    const auto read = readSettings(
        "/no/such/file", [&](const std::string &, const std::string &, model::Findings &) {
            parsed = true;
            return 0;
        });
    CHECK_FALSE(parsed);
    REQUIRE(read.findings.size() == 1);
    CHECK(read.findings.front().place.file == "/no/such/file");
}
