#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view callScript = R"js("use strict";

// Calls of the administration API. The token stays in the page's memory.

const statusPeriodMs = 1000;
const outcomePeriodMs = 2000;

let baseRevision = 0;
let pendingSubmission = null;

function byId(id) {
  return document.getElementById(id);
}

function say(text) {
  byId("message").textContent = text;
}

async function call(path, body) {
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

function fail(reply) {
  say(reply.body.message || `the daemon answered ${reply.status}`);
  showProblems(reply.body.problems || []);
}

async function loadDocument() {
  const reply = await call("document");
  if (reply.status !== 200) return fail(reply);
  baseRevision = reply.body.revision;
  currentDocument = reply.body.document;
  byId("base").textContent = `from revision ${baseRevision}`;
  byId("editor").hidden = false;
  clearProblems();
  showForms();
  say(`Revision ${baseRevision} is loaded.`);
  await showStatus();
}

async function showStatus() {
  const { status, body } = await call("status");
  if (status !== 200) return;
  let text = `Revision ${body.newest_revision} is in force on ${body.daemons_in_force} of ${body.daemons} daemons.`;
  if (body.behind && body.behind.length > 0) text += ` Behind: ${body.behind.join(", ")}.`;
  // Assigning equal text would make screen readers repeat it.
  if (byId("status").textContent !== text) byId("status").textContent = text;
}

function showDifference(patch) {
  const rows = patch.map((it) => {
    const row = document.createElement("tr");
    for (const text of [it.op, it.path, it.value === undefined ? "" : JSON.stringify(it.value)])
      row.append(Object.assign(document.createElement("td"), { textContent: text }));
    return row;
  });
  byId("difference").replaceChildren(...rows);
  byId("no-difference").hidden = rows.length > 0;
  byId("difference-section").hidden = false;
}

async function checkDocument() {
  const reply = await call("check", { document: currentDocument });
  if (reply.status !== 200) {
    fail(reply);
    return false;
  }
  clearProblems();
  showDifference(reply.body.patch);
  say("The document is valid.");
  return true;
}

function makeIdentifier() {
  const bytes = crypto.getRandomValues(new Uint8Array(16));
  return Array.from(bytes, (it) => it.toString(16).padStart(2, "0")).join("");
}

async function submitDocument() {
  if (pendingSubmission) return say(`Submission ${pendingSubmission} is still open.`);
  pendingSubmission = makeIdentifier();
  say(`Submitting as ${pendingSubmission}.`);
  finishSubmission(await call("submissions",
    { base: baseRevision, submission: pendingSubmission, document: currentDocument }));
}

async function askAgain() {
  finishSubmission(await call("submissions/" + encodeURIComponent(pendingSubmission)));
}

function finishSubmission(reply) {
  if (reply.status === 202 || reply.status === 0 || reply.status >= 500) {
    say(`The outcome of ${pendingSubmission} is not known yet; asking again.`);
    setTimeout(askAgain, outcomePeriodMs);
    return;
  }
  pendingSubmission = null;
  if (reply.status !== 200) return fail(reply);
  baseRevision = reply.body.revision;
  byId("base").textContent = `from revision ${baseRevision}`;
  clearProblems();
  byId("difference-section").hidden = true;
  say(`Accepted as revision ${baseRevision}.`);
  showStatus();
}

byId("connection").addEventListener("submit", (event) => { event.preventDefault(); loadDocument(); });
byId("check").addEventListener("click", async () => {
  if (await checkDocument()) byId("difference-title").focus();
});
byId("editor").addEventListener("submit", (event) => { event.preventDefault(); submitDocument(); });
setInterval(() => { if (currentDocument) showStatus(); }, statusPeriodMs);
)js";

} // namespace ibisgw::console
