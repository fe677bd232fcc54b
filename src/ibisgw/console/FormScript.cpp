#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view formScript = R"js("use strict";

// Forms that edit the document. The data-path attribute of an input is the JSON pointer of its value, so that
// problems that the check reports are shown next to the input. All values are set as text, never as HTML, so that
// they cannot inject markup.

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
const evacuatedZonesField = ["evacuated_zones", "Evacuated zones, separated by spaces (no new flows)", "list"];
const organizationFields = [["name", "Name", "text"]];

const newEntries = {
  organizations: () => ({ name: "" }),
  zones: () => ({ name: "", region: "" }),
  services: () => ({ name: "", organization: "", addresses: [], zones: [], cross_zone: true,
    drain_limit_ms: 3600000, kinds: [newEntries.kinds()] }),
  kinds: () => ({ id: 0, name: "", idempotent: false, placement: "load", deadline_ms: 5000, retry_limit: 1,
    concurrency_limit: 1024, queue_limit: 64, on_partition: "serve" }),
};

function makeElement(tag, properties, ...children) {
  const result = Object.assign(document.createElement(tag), properties);
  result.append(...children);
  return result;
}

function readInput(input, type, oldValue) {
  if (type === "checkbox") return input.checked;
  if (type === "list") return input.value.split(/\s+/).filter((it) => it);
  if (type === "number") return input.value === "" || Number.isNaN(Number(input.value)) ? oldValue : Number(input.value);
  return input.value;
}

function makeInput(type, value) {
  if (Array.isArray(type)) {
    const select = makeElement("select", {});
    for (const it of type) select.append(makeElement("option", { value: it, textContent: it, selected: it === value }));
    return select;
  }
  if (type === "checkbox") return makeElement("input", { type: "checkbox", checked: value });
  if (type === "number") return makeElement("input", { type: "number", value: value, step: 1 });
  return makeElement("input", { type: "text", value: type === "list" ? value.join(" ") : value, spellcheck: false });
}

function makeField(object, path, [name, label, type]) {
  const id = "field" + path.replaceAll("/", "-") + "-" + name;
  const input = makeInput(type, object[name] ?? (type === "list" ? [] : ""));
  input.id = id;
  input.dataset.path = path + "/" + name;
  input.setAttribute("aria-describedby", id + "-error");
  input.addEventListener("input", () => {
    object[name] = readInput(input, type, object[name]);
    showJson();
  });
  return makeElement("div", { className: "field" }, makeElement("label", { htmlFor: id, textContent: label }), input,
    makeElement("p", { className: "error", id: id + "-error" }));
}

// Changes a list and rebuilds the forms. The focus moves to the first input below focusPath (the added entry, or after
// a removal the first entry of the list), or to the check button if there is none.
function changeList(change, focusPath) {
  change();
  showForms();
  const target = document.querySelector(`[data-path^="${focusPath}"]`) || document.getElementById("check");
  target.focus();
}

function makeList(owner, path, name, title, fields, makeNestedList) {
  const list = owner[name];
  const listPath = path + "/" + name;
  const result = makeElement("div", {});
  list.forEach((entry, n) => {
    const entryPath = listPath + "/" + n;
    const group = makeElement("fieldset", {}, makeElement("legend", { textContent: `${title} ${n + 1}` }));
    group.append(...fields.map((it) => makeField(entry, entryPath, it)));
    if (makeNestedList) group.append(makeNestedList(entry, entryPath));
    const remove = makeElement("button", { type: "button", textContent: `Remove ${title} ${n + 1}` });
    remove.addEventListener("click", () => changeList(() => list.splice(n, 1), listPath + "/"));
    group.append(remove);
    result.append(group);
  });
  const add = makeElement("button", { type: "button", textContent: `Add ${title}` });
  add.dataset.path = listPath;
  add.addEventListener("click", () => changeList(() => list.push(newEntries[name]()), `${listPath}/${list.length}/`));
  result.append(add, makeElement("p", { className: "error" }));
  return result;
}

function showJson() {
  document.getElementById("json").textContent = JSON.stringify(currentDocument, null, 2);
}

function showForms() {
  const kinds = (service, path) => makeList(service, path, "kinds", "request kind", kindFields);
  document.getElementById("fields").replaceChildren(
    makeElement("h3", { textContent: "Organizations" }),
    makeList(currentDocument, "", "organizations", "organization", organizationFields),
    makeElement("h3", { textContent: "Availability zones" }),
    makeList(currentDocument, "", "zones", "zone", zoneFields),
    makeField(currentDocument, "", evacuatedZonesField),
    makeElement("h3", { textContent: "Services" }),
    makeList(currentDocument, "", "services", "service", serviceFields, kinds));
  showJson();
}

// Returns the input whose path is the longest prefix of a problem's path; null if there is none.
function inputForPath(path) {
  for (let ancestorPath = path; ancestorPath; ancestorPath = ancestorPath.slice(0, ancestorPath.lastIndexOf("/"))) {
    const input = document.querySelector(`[data-path="${CSS.escape(ancestorPath)}"]`);
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
    const item = makeElement("li", {});
    if (input) {
      const error = document.getElementById(input.id + "-error");
      if (error) error.textContent += (error.textContent ? "; " : "") + message;
      input.setAttribute("aria-invalid", "true");
      const link = makeElement("button", { type: "button", textContent: path });
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
