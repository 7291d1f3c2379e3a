// The TOML reader: typed access with ranges; unknown keys are findings.
#include <sassafrasferry/model/toml_reader.h>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::model {

namespace {

Place placeOf(const toml::source_region &region, const std::string &file)
{
    return {file, region.begin.line, region.begin.column};
}

std::string rangeMessage(const std::string &least, const std::string &most)
{
    return absl::StrCat("must lie between ", least, " and ", most);
}

// The place of the first control character other than tab and line ends.
std::optional<Place> controlCharacterIn(std::string_view text, const std::string &file)
{
    constexpr char firstPrintable = ' ';
    constexpr char deleteCharacter = 0x7f;
    Place place{file, 1, 1};
    for (const char character : text) {
        const bool isControl =
            (character >= 0 && character < firstPrintable) || character == deleteCharacter;
        if (isControl && character != '\t' && character != '\n' && character != '\r')
            return place;
        ++place.column;
        if (character == '\n')
            place = {file, place.line + 1, 1};
    }
    return std::nullopt;
}

} // namespace

TomlReader::TomlReader(const toml::table &table, std::string file, std::string path,
                       Findings &findings)
    : source(table)
    , file(std::move(file))
    , path(std::move(path))
    , findings(findings)
{}

const toml::node *TomlReader::node(std::string_view key)
{
    this->known.emplace(key);
    return this->source.get(key);
}

std::string TomlReader::pathOf(std::string_view key) const
{
    if (key.empty())
        return this->path;
    return this->path.empty() ? std::string(key) : absl::StrCat(this->path, ".", std::string(key));
}

Finding TomlReader::findingAt(std::string_view key, std::string message) const
{
    const auto *at = this->source.get(key);
    const auto region = at ? at->source() : this->source.source();
    return {placeOf(region, this->file), this->pathOf(key), std::move(message)};
}

void TomlReader::find(std::string_view key, std::string message)
{
    this->findings.push_back(this->findingAt(key, std::move(message)));
}

void TomlReader::require(std::string_view key)
{
    if (!this->source.contains(key))
        this->find(key, "is required");
}

bool TomlReader::read(std::string_view key, std::string &value)
{
    const auto *at = this->node(key);
    if (!at)
        return false;
    if (const auto *text = at->as_string())
        value = text->get();
    else
        this->find(key, "must be a string");
    return true;
}

bool TomlReader::read(std::string_view key, bool &value)
{
    const auto *at = this->node(key);
    if (!at)
        return false;
    if (const auto *flag = at->as_boolean())
        value = flag->get();
    else
        this->find(key, "must be true or false");
    return true;
}

bool TomlReader::read(std::string_view key, std::vector<std::string> &values)
{
    const auto *at = this->node(key);
    if (!at)
        return false;
    const auto *array = at->as_array();
    if (!array) {
        this->find(key, "must be an array of strings");
        return true;
    }
    values.clear();
    for (const auto &element : *array) {
        if (const auto *text = element.as_string())
            values.push_back(text->get());
        else
            this->find(key, "must hold only strings");
    }
    return true;
}

bool TomlReader::read(std::string_view key, std::int64_t &value, IntegerRange range)
{
    const auto *at = this->node(key);
    if (!at)
        return false;
    const auto *number = at->as_integer();
    if (!number)
        this->find(key, "must be an integer");
    else if (number->get() < range.least || number->get() > range.most)
        this->find(key, rangeMessage(absl::StrCat(range.least), absl::StrCat(range.most)));
    else
        value = number->get();
    return true;
}

bool TomlReader::read(std::string_view key, double &value, RealRange range)
{
    const auto *at = this->node(key);
    if (!at)
        return false;
    const auto number = at->value<double>();
    if (!number)
        this->find(key, "must be a number");
    else if (!(*number >= range.least && *number <= range.most))
        this->find(key, rangeMessage(absl::StrCat(range.least), absl::StrCat(range.most)));
    else
        value = *number;
    return true;
}

bool TomlReader::read(std::string_view key, std::chrono::milliseconds &value, IntegerRange range)
{
    std::int64_t count = value.count();
    const bool present = this->read(key, count, range);
    value = std::chrono::milliseconds(count);
    return present;
}

void TomlReader::visitTable(const toml::node &node, const std::string &nodePath,
                            const std::function<void(TomlReader &)> &visit)
{
    const auto *inner = node.as_table();
    if (!inner) {
        this->findings.push_back({placeOf(node.source(), this->file), nodePath, "must be a table"});
        return;
    }
    TomlReader reader(*inner, this->file, nodePath, this->findings);
    visit(reader);
    reader.finish();
}

void TomlReader::eachTable(std::string_view key,
                           const std::function<void(const std::string &, TomlReader &)> &visit)
{
    const auto *at = this->node(key);
    if (!at)
        return;
    const auto *tables = at->as_table();
    if (!tables) {
        this->find(key, "must be a table of tables");
        return;
    }
    for (const auto &[name, element] : *tables) {
        const std::string nameText(name.str());
        this->visitTable(element, absl::StrCat(this->pathOf(key), ".", nameText),
                         [&](TomlReader &reader) { visit(nameText, reader); });
    }
}

void TomlReader::eachElement(std::string_view key, const std::function<void(TomlReader &)> &visit)
{
    const auto *at = this->node(key);
    if (!at)
        return;
    const auto *array = at->as_array();
    if (!array) {
        this->find(key, "must be an array of tables");
        return;
    }
    std::size_t index = 0;
    for (const auto &element : *array)
        this->visitTable(element, absl::StrCat(this->pathOf(key), "[", index++, "]"), visit);
}

void TomlReader::table(std::string_view key, const std::function<void(TomlReader &)> &visit)
{
    if (const auto *at = this->node(key))
        this->visitTable(*at, this->pathOf(key), visit);
}

void TomlReader::finish()
{
    for (const auto &[key, element] : this->source) {
        if (!this->known.contains(key.str()))
            this->find(key.str(), "is not a known key");
    }
}

std::unique_ptr<toml::table> parseToml(std::string_view text, const std::string &file,
                                       Findings &findings)
{
    // The library asserts on some control characters in keys, which ended the process that parsed
    // them. TOML forbids all of them, so none needs to reach it.
    if (const auto control = controlCharacterIn(text, file)) {
        findings.push_back({*control, "", "holds a control character, which TOML forbids"});
        return nullptr;
    }
    try {
        return std::make_unique<toml::table>(toml::parse(text, file));
    } catch (const toml::parse_error &error) {
        findings.push_back({placeOf(error.source(), file), "", std::string(error.description())});
        return nullptr;
    } catch (const std::logic_error &error) {
        findings.push_back({{file, 1, 1}, "", error.what()});
        return nullptr;
    }
}

} // namespace sassafrasferry::model
