// Tables of names for enum classes: one table gives parsing, printing and the list for messages.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasferry::model {

/// One row of a table of names.
template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

template<typename Enum>
EnumName(Enum, std::string_view) -> EnumName<Enum>;

/// Specialised for each enum class by a function `enumNames(Enum)` found by argument lookup.
template<typename Enum>
concept NamedEnum = requires(Enum value)
{
    enumNames(value).size();
};

/// The name of a value; "?" for a value that is not in its table.
template<NamedEnum Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &row : enumNames(value)) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// The value with that name, or nothing.
template<NamedEnum Enum>
constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (const auto &row : enumNames(Enum{})) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

/// All names with commas between, for findings.
template<NamedEnum Enum>
std::string allNames()
{
    std::string names;
    for (const auto &row : enumNames(Enum{})) {
        if (!names.empty())
            names += ", ";
        names += row.name;
    }
    return names;
}

} // namespace sassafrasferry::model
