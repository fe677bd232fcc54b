#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view formScript = R"js("use strict";

// Forms for the document. Every input carries the JSON pointer of its value in data-path, so that
// problems of the check can be shown beside it. All values are set as text, never as HTML.

let currentDocument = null;

const kindFields = [
  ["id", "Number", "number"],
  ["name", "Name", "text"],
  ["idempotent", "Idempotent (may run twice)", "checkbox"],
  ["placement", "Placement", ["sticky", "load"]],
  ["deadline_ms", "Deadline in ms", "number"],
  ["retry_limit", "Retry limit", "number"],
  ["concurrency_limit", "Concurrency limit for each balancer", "number"],
  ["queue_limit", "Queue limit for each balancer", "number"],
  ["on_partition", "While cut off from the controllers", ["serve", "refuse"]],
];
const serviceFields = [
  ["name", "Name", "text"],
  ["organization", "Organization", "text"],
  ["addresses", "Addresses, separated by spaces", "list"],
  ["zones", "Zones, separated by spaces (empty: all)", "list"],
  ["cross_zone", "May use upstreams of other zones", "checkbox"],
  ["drain_limit_ms", "Drain limit in ms", "number"],
];
const zoneFields = [["name", "Name", "text"], ["region", "Region", "text"]];
const organizationFields = [["name", "Name", "text"]];

const newEntries = {
  organizations: () => ({ name: "" }),
  zones: () => ({ name: "", region: "" }),
  services: () => ({ name: "", organization: "", addresses: [], zones: [], cross_zone: true,
    drain_limit_ms: 3600000, kinds: [newEntries.kinds()] }),
  kinds: () => ({ id: 0, name: "", idempotent: false, placement: "load", deadline_ms: 5000, retry_limit: 1,
    concurrency_limit: 1024, queue_limit: 64, on_partition: "serve" }),
};

function element(tag, properties, ...children) {
  const result = Object.assign(document.createElement(tag), properties);
  result.append(...children);
  return result;
}

function readInput(input, type, old) {
  if (type === "checkbox") return input.checked;
  if (type === "list") return input.value.split(/\s+/).filter((it) => it);
  if (type === "number") return input.value === "" || Number.isNaN(Number(input.value)) ? old : Number(input.value);
  return input.value;
}

function makeInput(type, value) {
  if (Array.isArray(type)) {
    const select = element("select", {});
    for (const it of type) select.append(element("option", { value: it, textContent: it, selected: it === value }));
    return select;
  }
  if (type === "checkbox") return element("input", { type: "checkbox", checked: value });
  if (type === "number") return element("input", { type: "number", value: value, step: 1 });
  return element("input", { type: "text", value: type === "list" ? value.join(" ") : value, spellcheck: false });
}

function fieldFor(object, path, [name, label, type]) {
  const id = "field" + path.replaceAll("/", "-") + "-" + name;
  const input = makeInput(type, object[name]);
  input.id = id;
  input.dataset.path = path + "/" + name;
  input.setAttribute("aria-describedby", id + "-error");
  input.addEventListener("input", () => {
    object[name] = readInput(input, type, object[name]);
    showJson();
  });
  return element("div", { className: "field" }, element("label", { htmlFor: id, textContent: label }), input,
    element("p", { className: "error", id: id + "-error" }));
}

// A change of the lists builds the form again; the focus moves to the new or the next entry.
function changeList(change, focusPath) {
  change();
  showForms();
  const target = document.querySelector(`[data-path^="${focusPath}"]`) || document.getElementById("check");
  target.focus();
}

function listFor(owner, path, name, title, fields, extra) {
  const list = owner[name];
  const listPath = path + "/" + name;
  const result = element("div", {});
  list.forEach((entry, n) => {
    const entryPath = listPath + "/" + n;
    const group = element("fieldset", {}, element("legend", { textContent: `${title} ${n + 1}` }));
    group.append(...fields.map((it) => fieldFor(entry, entryPath, it)));
    if (extra) group.append(extra(entry, entryPath));
    const remove = element("button", { type: "button", textContent: `Remove ${title} ${n + 1}` });
    remove.addEventListener("click", () => changeList(() => list.splice(n, 1), listPath + "/"));
    group.append(remove);
    result.append(group);
  });
  const add = element("button", { type: "button", textContent: `Add ${title}` });
  add.dataset.path = listPath;
  add.addEventListener("click", () => changeList(() => list.push(newEntries[name]()), `${listPath}/${list.length}/`));
  result.append(add, element("p", { className: "error" }));
  return result;
}

function showJson() {
  document.getElementById("json").textContent = JSON.stringify(currentDocument, null, 2);
}

function showForms() {
  const kinds = (service, path) => listFor(service, path, "kinds", "kind of request", kindFields);
  document.getElementById("fields").replaceChildren(
    element("h3", { textContent: "Organizations" }),
    listFor(currentDocument, "", "organizations", "organization", organizationFields),
    element("h3", { textContent: "Availability zones" }),
    listFor(currentDocument, "", "zones", "zone", zoneFields),
    element("h3", { textContent: "Services" }),
    listFor(currentDocument, "", "services", "service", serviceFields, kinds));
  showJson();
}

// Input whose path is the longest prefix of the problem's path.
function inputForPath(path) {
  for (let rest = path; rest; rest = rest.slice(0, rest.lastIndexOf("/"))) {
    const input = document.querySelector(`[data-path="${CSS.escape(rest)}"]`);
    if (input) return input;
  }
  return null;
}

function clearProblems() {
  for (const it of document.querySelectorAll("[aria-invalid]")) it.removeAttribute("aria-invalid");
  for (const it of document.querySelectorAll("#fields .error")) it.textContent = "";
  document.getElementById("problems").replaceChildren();
  document.getElementById("problems-section").hidden = true;
}

function showProblems(problems) {
  clearProblems();
  const list = document.getElementById("problems");
  for (const { path, message } of problems) {
    const input = inputForPath(path.replace(/^\/document/, ""));
    const item = element("li", {});
    if (input) {
      const error = document.getElementById(input.id + "-error");
      if (error) error.textContent += (error.textContent ? "; " : "") + message;
      input.setAttribute("aria-invalid", "true");
      const link = element("button", { type: "button", textContent: path });
      link.addEventListener("click", () => input.focus());
      item.append(link, " ");
    } else {
      item.append(path + " ");
    }
    item.append(message);
    list.append(item);
  }
  document.getElementById("problems-section").hidden = problems.length === 0;
  if (problems.length > 0) document.getElementById("problems-title").focus();
}
)js";

} // namespace ibisgw::console
