#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view page = R"html(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>ibisgw console</title>
<link rel="stylesheet" href="/console/style.css">
<script src="/console/forms.js" defer></script>
<script src="/console/calls.js" defer></script>
</head>
<body>
<header><h1>ibisgw console</h1></header>
<main>
<form id="connection">
  <label for="token">Token (leave empty if the daemon has none)</label>
  <input id="token" type="password" autocomplete="off">
  <button type="submit">Load the document in force</button>
</form>
<p id="message" role="status" aria-live="polite"></p>
<section aria-labelledby="status-title">
  <h2 id="status-title">Revision in force</h2>
  <p id="status" aria-live="polite">Not loaded yet.</p>
</section>
<form id="editor" hidden>
  <h2>Document <span id="base"></span></h2>
  <div id="fields"></div>
  <p>
    <button type="button" id="check">Check and show differences</button>
    <button type="submit">Submit</button>
  </p>
</form>
<section aria-labelledby="problems-title" id="problems-section" hidden>
  <h2 id="problems-title" tabindex="-1">Problems</h2>
  <ul id="problems"></ul>
</section>
<section aria-labelledby="report-title" id="report-section" hidden>
  <h2 id="report-title" tabindex="-1">Warnings, and differences from the document in force</h2>
  <table>
    <thead><tr><th scope="col">Severity</th><th scope="col">Where</th><th scope="col">Finding</th></tr></thead>
    <tbody id="report"></tbody>
  </table>
  <p id="no-findings" hidden>There are no warnings, and the document equals the one in force.</p>
</section>
<details><summary>Document as JSON</summary><pre id="json" tabindex="0"></pre></details>
</main>
</body>
</html>
)html";

} // namespace ibisgw::console
