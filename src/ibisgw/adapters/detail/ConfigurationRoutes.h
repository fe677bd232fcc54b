#pragma once

#include "ibisgw/adapters/detail/ApiCall.h"

namespace ibisgw::adapters::detail {

// Handlers of the API calls for documents and submissions. Identifiers and revisions are those in the path of
// the request.
void showDocumentInForce(const ApiCallPtr&);
void showDocumentAt(const ApiCallPtr&, core::Revision);
void showHistory(const ApiCallPtr&);
void showDifference(const ApiCallPtr&, core::Revision from, core::Revision to);
// Checks the submitted document without changing anything. Answers with all problems, or with the report of
// configuration::checkDocument() and the difference to the document in force as a JSON Patch (RFC 6902).
void checkDocument(const ApiCallPtr&);
void submitDocument(const ApiCallPtr&);
void showSubmission(const ApiCallPtr&, const std::string& identifier);

} // namespace ibisgw::adapters::detail
