#include "ibisgw/configuration/RevisionHistory.h"

#include "ibisgw/configuration/DocumentPatch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

using nlohmann::json;

namespace {

json writeRevision(const AcceptedRevision& revision, const std::string& text, bool isPatch)
{
    return { revision.revision, text, isPatch, revision.hash, revision.author, revision.submission };
}

bool readRevision(const json& input, AcceptedRevision& revision, std::string& text, bool& isPatch)
{
    if (!input.is_array() || input.size() != 6 || !input[0].is_number_unsigned() || !input[1].is_string()
        || !input[2].is_boolean() || !input[3].is_number_unsigned() || !input[4].is_string() || !input[5].is_string())
        return false;
    revision = { input[0], {}, input[3], input[4], input[5] };
    text = input[1];
    isPatch = input[2];
    return true;
}

} // namespace

void RevisionHistory::add(AcceptedRevision revision)
{
    if (m_current.revision > 0) {
        auto patch = makeExactPatch(revision.document, m_current.document);
        StoredRevision older { m_current, patch.has_value(), patch ? std::move(*patch) : m_current.document };
        older.header.document.clear();
        m_olderRevisions.push_back(std::move(older));
        if (m_olderRevisions.size() >= capacity)
            m_olderRevisions.pop_front();
    }
    m_current = std::move(revision);
}

std::optional<AcceptedRevision> RevisionHistory::find(core::Revision revision) const
{
    auto revisions = newestFirstDownTo(revision);
    if (revisions.empty() || revisions.back().revision != revision)
        return std::nullopt;
    return std::move(revisions.back());
}

std::vector<AcceptedRevision> RevisionHistory::since(core::Revision revision) const
{
    auto revisions = newestFirstDownTo(revision + 1);
    std::ranges::reverse(revisions);
    return revisions;
}

const std::string* RevisionHistory::authorOf(core::Revision revision) const
{
    if (revision == m_current.revision)
        return &m_current.author;
    const auto it = std::ranges::find_if(
        m_olderRevisions, [&](const StoredRevision& older) { return older.header.revision == revision; });
    return it == m_olderRevisions.end() ? nullptr : &it->header.author;
}

std::vector<AcceptedRevision> RevisionHistory::newestFirstDownTo(core::Revision oldest) const
{
    std::vector<AcceptedRevision> revisions;
    if (m_current.revision == 0 || m_current.revision < oldest)
        return revisions;
    revisions.push_back(m_current);
    for (auto it = m_olderRevisions.rbegin(); it != m_olderRevisions.rend() && it->header.revision >= oldest; ++it) {
        auto document = it->isPatch ? applyPatch(revisions.back().document, it->text) : it->text;
        if (!document)
            break;
        auto revision = it->header;
        revision.document = std::move(*document);
        revisions.push_back(std::move(revision));
    }
    return revisions;
}

json RevisionHistory::toJson() const
{
    auto older = json::array();
    for (const auto& it : m_olderRevisions)
        older.push_back(writeRevision(it.header, it.text, it.isPatch));
    return { writeRevision(m_current, m_current.document, false), std::move(older) };
}

bool RevisionHistory::restore(const json& input)
{
    *this = {};
    bool isPatch = false;
    if (!input.is_array() || input.size() != 2 || !input[1].is_array()
        || !readRevision(input[0], m_current, m_current.document, isPatch))
        return false;
    m_current.document = input[0][1];
    for (const auto& it : input[1]) {
        StoredRevision older;
        if (!readRevision(it, older.header, older.text, older.isPatch))
            return false;
        m_olderRevisions.push_back(std::move(older));
    }
    return true;
}

} // namespace ibisgw::configuration
