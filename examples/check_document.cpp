// Prints all validation findings of an invalid document.
#include <sassafrasferry/model/sections.h>

#include <iostream>

int main()
{
    using namespace sassafrasferry::model;
    const std::string text = "[sections.billing]\nteam = \"nobody\"\n"
                             "[sections.billing.services.invoice]\npool = \"none\"\nclas = \"x\"\n";
    Findings findings;
    const auto sections = splitSections(text, "document.toml", findings);
    parseDocument(sections, 1, findings);
    std::cout << toString(findings);
}
