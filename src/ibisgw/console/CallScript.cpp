#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view callScript = R"js("use strict";

// Calls of the administration API. The token is kept only in the memory of the page, not in cookies or storage.

const statusIntervalMs = 1000;
const outcomeIntervalMs = 2000;

let baseRevision = 0;
let pendingSubmission = null;

function byId(id) {
  return document.getElementById(id);
}

function showMessage(text) {
  byId("message").textContent = text;
}

async function callApi(path, body) {
  const headers = { "Content-Type": "application/json" };
  const token = byId("token").value.trim();
  if (token) headers.Authorization = "Bearer " + token;
  const options = body === undefined ? { headers } : { method: "POST", headers, body: JSON.stringify(body) };
  try {
    const response = await fetch("/api/v1/" + path, options);
    return { status: response.status, body: await response.json() };
  } catch (error) {
    return { status: 0, body: { message: "no answer from the daemon; try again", problems: [] } };
  }
}

function showFailure(reply) {
  showMessage(reply.body.message || `the daemon answered with HTTP status ${reply.status}`);
  showProblems(reply.body.problems || []);
}

async function loadDocument() {
  const reply = await callApi("document");
  if (reply.status !== 200) return showFailure(reply);
  baseRevision = reply.body.revision;
  currentDocument = reply.body.document;
  byId("base").textContent = `from revision ${baseRevision}`;
  byId("editor").hidden = false;
  clearProblems();
  showForms();
  showMessage(`Revision ${baseRevision} is loaded.`);
  await showStatus();
}

async function showStatus() {
  const { status, body } = await callApi("status");
  if (status !== 200) return;
  let text = `Revision ${body.newest_revision} is in force on ${body.daemons_in_force} of ${body.daemons} daemons.`;
  if (body.behind && body.behind.length > 0) text += ` Behind: ${body.behind.join(", ")}.`;
  // Assigning the same text again would make screen readers repeat it.
  if (byId("status").textContent !== text) byId("status").textContent = text;
}

function showReport(report) {
  const rows = report.findings.map((it) => {
    const row = document.createElement("tr");
    for (const text of [it.severity, it.path, it.message])
      row.append(Object.assign(document.createElement("td"), { textContent: text }));
    return row;
  });
  byId("report").replaceChildren(...rows);
  byId("no-findings").hidden = rows.length > 0;
  byId("report-section").hidden = false;
}

async function checkDocument() {
  const reply = await callApi("check", { document: currentDocument });
  if (reply.status !== 200) {
    showFailure(reply);
    return false;
  }
  clearProblems();
  showReport(reply.body.report);
  showMessage(`The document is valid, with ${reply.body.report.warnings} warnings.`);
  return true;
}

function makeSubmissionId() {
  const bytes = crypto.getRandomValues(new Uint8Array(16));
  return Array.from(bytes, (it) => it.toString(16).padStart(2, "0")).join("");
}

async function submitDocument() {
  if (pendingSubmission) return showMessage(`The outcome of ${pendingSubmission} is not known yet.`);
  pendingSubmission = makeSubmissionId();
  showMessage(`Submitting as ${pendingSubmission}.`);
  handleSubmissionReply(await callApi("submissions",
    { base: baseRevision, submission: pendingSubmission, document: currentDocument }));
}

async function requestOutcome() {
  handleSubmissionReply(await callApi("submissions/" + encodeURIComponent(pendingSubmission)));
}

function handleSubmissionReply(reply) {
  if (reply.status === 202 || reply.status === 0 || reply.status >= 500) {
    showMessage(`The outcome of ${pendingSubmission} is not known yet; requesting it again.`);
    setTimeout(requestOutcome, outcomeIntervalMs);
    return;
  }
  pendingSubmission = null;
  if (reply.status !== 200) return showFailure(reply);
  baseRevision = reply.body.revision;
  byId("base").textContent = `from revision ${baseRevision}`;
  clearProblems();
  byId("report-section").hidden = true;
  showMessage(`Accepted as revision ${baseRevision}.`);
  showStatus();
}

byId("connection").addEventListener("submit", (event) => { event.preventDefault(); loadDocument(); });
byId("check").addEventListener("click", async () => {
  if (await checkDocument()) byId("report-title").focus();
});
byId("editor").addEventListener("submit", (event) => { event.preventDefault(); submitDocument(); });
setInterval(() => { if (currentDocument) showStatus(); }, statusIntervalMs);
)js";

} // namespace ibisgw::console
