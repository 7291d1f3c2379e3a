// The document in the table service: reading what changed, and applying a section.
#pragma once

#include <sassafrasferry/model/sections.h>
#include <sassafrasferry/store/documents.h>

#include <functional>
#include <utility>

namespace sassafrasferry::store {

/// Reads and changes the document.
///
/// Rows: `document/head` {revision}; `sections/NAME` {text, revision}; `revisions/N` {section,
/// team, operationId}; `operations/ID` {revision}. A change is one transaction on the head's and
/// the section's versions, so that of two racing changes one commits.
template<TableService Tables>
class DocumentStore
{
public:
    explicit DocumentStore(Tables &tables)
        : tables(tables)
    {}

    /// The revision in force; 0 while there is no document.
    Awaitable<absl::StatusOr<std::int64_t>> head()
    {
        const std::vector<RowKey> keys{headKey()};
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        co_return revisionOf(findRow(*rows, headKey()));
    }

    /// The revision in force and the version of another row, read at one moment.
    struct Heads
    {
        std::int64_t revision = 0;
        std::int64_t otherVersion = absent;
    };
    Awaitable<absl::StatusOr<Heads>> heads(RowKey other)
    {
        const std::vector<RowKey> keys{headKey(), other};
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        Heads heads;
        heads.revision = revisionOf(findRow(*rows, headKey()));
        if (const auto *row = findRow(*rows, other))
            heads.otherVersion = row->version;
        co_return heads;
    }

    /// Brings texts up to the newest revision by reading only the sections that changed; all of
    /// them if nothing is known yet.
    Awaitable<absl::StatusOr<DocumentTexts>> load(DocumentTexts known)
    {
        // A change between two reads makes them differ; each round starts from what it has.
        for (int round = 0; round < mostRounds; ++round) {
            // Not a conditional expression: g++ 12 destroys its co_await operands twice.
            if (known.revision == 0) {
                auto texts = co_await this->loadAll();
                if (!absl::IsAborted(texts.status()))
                    co_return texts;
                continue;
            }
            auto texts = co_await this->loadChanges(known);
            if (!absl::IsAborted(texts.status()))
                co_return texts;
        }
        co_return absl::UnavailableError("the document changes faster than it can be read");
    }

    /// Rows that a change writes besides its own, in the same transaction.
    struct ExtraRows
    {
        std::vector<Put> fresh; ///< none of them may exist yet
        std::vector<Put> touched; ///< written whatever they hold
    };
    using ExtraRowsOf =
        std::function<ExtraRows(const model::Document &current, const model::Document &changed)>;

    /// Applies a change. A change whose answer was lost is settled by its operation id. `known`:
    /// any texts read before; they save reading. `extraRows` may be empty.
    Awaitable<ChangeResult> apply(SectionChange change, DocumentTexts known,
                                  ExtraRowsOf extraRows = {})
    {
        bool mayBeApplied = false;
        for (int round = 0; round < mostRounds; ++round) {
            const auto attempt = co_await this->attempt(change, known, extraRows);
            if (attempt.isFinal)
                co_return attempt.result;
            mayBeApplied = mayBeApplied || attempt.commit == CommitState::Unknown;
            if (attempt.commit == CommitState::NotApplied)
                break;
        }
        const auto state = mayBeApplied ? ChangeState::Unknown : ChangeState::Unavailable;
        co_return ChangeResult{state, 0, {}, {}};
    }

    /// The revision that an operation created; 0 if it created none.
    Awaitable<absl::StatusOr<std::int64_t>> operation(std::string operationId)
    {
        const auto key = operationKey(operationId);
        const std::vector<RowKey> keys{key};
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        co_return revisionOf(findRow(*rows, key));
    }

    /// What changed after a revision, oldest first, a page at the most.
    Awaitable<absl::StatusOr<std::vector<HistoryEntry>>> history(std::int64_t after)
    {
        const ScanRange range{"revisions", revisionKey(after).key, historyPage};
        const auto rows = co_await this->tables.scan(range);
        if (!rows.ok())
            co_return rows.status();
        std::vector<HistoryEntry> entries;
        for (const auto &row : *rows)
            entries.push_back({row.value.value("revision", std::int64_t{0}),
                               row.value.value("section", ""), row.value.value("team", ""),
                               row.value.value("operationId", "")});
        co_return entries;
    }

private:
    static constexpr int mostRounds = 8;

    static std::int64_t revisionOf(const Row *row)
    {
        return row ? row->value.value("revision", std::int64_t{0}) : 0;
    }

    static model::SectionText sectionOf(const RowKey &key, const Row *row)
    {
        if (!row)
            return {key.key, {}, 0};
        return {key.key, row->value.value("text", ""), revisionOf(row)};
    }

    // An aborted status asks for another round.
    static absl::Status changedMeanwhile()
    {
        return absl::AbortedError("changed meanwhile");
    }

    Awaitable<absl::StatusOr<DocumentTexts>> loadAll()
    {
        const auto before = co_await this->head();
        if (!before.ok())
            co_return before.status();
        const ScanRange range{"sections", ""};
        const auto rows = co_await this->tables.scan(range);
        if (!rows.ok())
            co_return rows.status();
        const auto after = co_await this->head();
        if (!after.ok())
            co_return after.status();
        if (*before != *after)
            co_return changedMeanwhile();
        DocumentTexts texts;
        texts.revision = *after;
        for (const auto &row : *rows)
            texts.set(sectionOf(row.key, &row));
        co_return texts;
    }

    Awaitable<absl::StatusOr<DocumentTexts>> loadChanges(DocumentTexts known)
    {
        const auto entries = co_await this->history(known.revision);
        if (!entries.ok())
            co_return entries.status();
        if (entries->size() >= historyPage) {
            // There may be more changes than were told; all of the document is less to read.
            auto texts = co_await this->loadAll();
            co_return texts;
        }
        auto newest = known.revision;
        std::vector<RowKey> keys{headKey()};
        for (const auto &entry : *entries) {
            newest = std::max(newest, entry.revision);
            const auto key = sectionKey(entry.section);
            if (std::find(keys.begin(), keys.end(), key) == keys.end())
                keys.push_back(key);
        }
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        const auto revision = revisionOf(findRow(*rows, headKey()));
        if (revision < known.revision)
            co_return absl::DataLossError("the store's revision went back");
        // The read is of one moment; it is whole if nothing changed after the scan.
        if (revision != newest)
            co_return changedMeanwhile();
        known.revision = revision;
        for (const auto &key : keys) {
            if (key != headKey())
                known.set(sectionOf(key, findRow(*rows, key)));
        }
        co_return known;
    }

    // One try to apply a change. If it is not final, `commit` says what became of it.
    struct Attempt
    {
        bool isFinal = false;
        CommitState commit = CommitState::NotApplied;
        ChangeResult result;
    };

    // What a validated change needs to be committed.
    struct Approval
    {
        bool isApproved = false;
        std::string team;
        ChangeResult result;
        ExtraRows extraRows;
    };

    Awaitable<Attempt> attempt(SectionChange change, DocumentTexts &known,
                               const ExtraRowsOf &extraRows)
    {
        const std::vector<RowKey> keys{headKey(), sectionKey(change.section),
                                       operationKey(change.operationId)};
        const auto control = co_await this->tables.read(keys);
        if (!control.ok())
            co_return Attempt{};
        if (const auto *done = findRow(*control, operationKey(change.operationId)))
            co_return final({ChangeState::Accepted, revisionOf(done), {}, {}});
        const auto *head = findRow(*control, headKey());
        const auto *section = findRow(*control, sectionKey(change.section));
        const auto texts = co_await this->load(known);
        if (!texts.ok())
            co_return Attempt{};
        known = *texts;
        if (texts->revision != revisionOf(head))
            co_return Attempt{false, CommitState::Conflict, {}};
        const auto *current = texts->section(change.section);
        const auto currentRevision = current ? current->revision : 0;
        if (currentRevision != change.baseRevision)
            co_return final({ChangeState::Conflict,
                             currentRevision,
                             {},
                             current ? current->text : std::string()});
        auto approval = approve(*texts, change, extraRows);
        if (approval.isApproved && !approval.extraRows.fresh.empty())
            co_await this->checkExtraRows(change, approval);
        if (!approval.isApproved)
            co_return final(std::move(approval.result));
        const auto commit =
            co_await this->tables.commit(transactionOf(change, approval, head, section));
        co_return Attempt{commit.state == CommitState::Committed, commit.state,
                          std::move(approval.result)};
    }

    static Attempt final(ChangeResult result)
    {
        return {true, CommitState::Committed, std::move(result)};
    }

    // A row that exists already belongs to something under way, which must end first.
    Awaitable<void> checkExtraRows(const SectionChange &change, Approval &approval)
    {
        std::vector<RowKey> keys;
        for (const auto &put : approval.extraRows.fresh)
            keys.push_back(put.key);
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return; // the commit's conditions will tell
        for (const auto &row : *rows) {
            approval.isApproved = false;
            approval.result.state = ChangeState::Refused;
            approval.result.findings.push_back(
                {{change.section, 1, 1}, row.key.key, "is being moved or maintained; wait"});
        }
    }

    // Validates the merged document.
    static Approval approve(const DocumentTexts &texts, const SectionChange &change,
                            const ExtraRowsOf &extraRows)
    {
        model::Findings ignored;
        const auto current = model::parseDocument(texts.sections, texts.revision, ignored);
        auto merged = texts;
        merged.revision = texts.revision + 1;
        merged.set({change.section, change.text, merged.revision});
        model::Findings findings;
        const auto changed = model::parseDocument(merged.sections, merged.revision, findings);
        if (!mayChange(current, changed, change))
            return {false, {}, {ChangeState::Forbidden, 0, {}, {}}, {}};
        if (!findings.empty())
            return {false, {}, {ChangeState::Refused, 0, std::move(findings), {}}, {}};
        const auto *owned = current.section(change.section);
        const auto *owner = owned ? owned : changed.section(change.section);
        return {true,
                owner ? owner->team : std::string(),
                {ChangeState::Accepted, merged.revision, {}, {}},
                extraRows ? extraRows(current, changed) : ExtraRows()};
    }

    static Transaction transactionOf(const SectionChange &change, const Approval &approval,
                                     const Row *head, const Row *section)
    {
        const auto revision = approval.result.revision;
        Transaction transaction;
        transaction.conditions = {{headKey(), head ? head->version : absent},
                                  {sectionKey(change.section), section ? section->version : absent},
                                  {operationKey(change.operationId), absent}};
        transaction.puts = {
            {headKey(), {{"revision", revision}}},
            {sectionKey(change.section), {{"text", change.text}, {"revision", revision}}},
            {revisionKey(revision),
             {{"revision", revision},
              {"section", change.section},
              {"team", approval.team},
              {"operationId", change.operationId}}},
            {operationKey(change.operationId), {{"revision", revision}}}};
        for (const auto &put : approval.extraRows.fresh) {
            transaction.conditions.push_back({put.key, absent});
            transaction.puts.push_back(put);
        }
        for (const auto &put : approval.extraRows.touched)
            transaction.puts.push_back(put);
        return transaction;
    }

    Tables &tables;
};

} // namespace sassafrasferry::store
