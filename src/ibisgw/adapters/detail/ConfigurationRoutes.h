#pragma once

#include "ibisgw/adapters/detail/ApiCall.h"

namespace ibisgw::adapters::detail {

// Calls about documents and submissions. Identifiers and revisions come from the request's path.
void showDocumentInForce(const ApiCallPtr&);
void showDocumentAt(const ApiCallPtr&, core::Revision);
void showHistory(const ApiCallPtr&);
void showDifference(const ApiCallPtr&, core::Revision from, core::Revision to);
// Answers with all problems, or with the difference to the document in force (RFC 6902).
void checkDocument(const ApiCallPtr&);
void submitDocument(const ApiCallPtr&);
void showSubmission(const ApiCallPtr&, const std::string& identifier);

} // namespace ibisgw::adapters::detail
