#include "ibisgw/console/ConsoleFiles.h"

namespace ibisgw::console {

const std::string_view style
    = R"css(body { font: 16px/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 60rem; padding: 0 1rem 4rem; color: #1a1a1a; }
h1 { font-size: 1.4rem; }
h2 { font-size: 1.15rem; margin-top: 2rem; }
fieldset { border: 1px solid #8a8a8a; border-radius: 4px; margin: 0 0 1rem; padding: 0.5rem 1rem 1rem; }
legend { font-weight: 600; }
.field { display: grid; grid-template-columns: 16rem 1fr; gap: 0.25rem 1rem; margin: 0.4rem 0; align-items: center; }
.field .error { grid-column: 2; color: #a3000b; margin: 0; }
.field .error:empty { display: none; }
input, select, button { font: inherit; padding: 0.3rem 0.5rem; }
input[type="checkbox"] { justify-self: start; width: 1.2rem; height: 1.2rem; }
input[aria-invalid="true"], select[aria-invalid="true"] { border: 2px solid #a3000b; }
:focus-visible { outline: 3px solid #0b57d0; outline-offset: 2px; }
#connection { display: grid; gap: 0.5rem; justify-items: start; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 0.25rem 0.5rem; border-bottom: 1px solid #c4c4c4; vertical-align: top; }
td, pre { overflow-wrap: anywhere; }
pre { background: #f3f3f3; padding: 0.75rem; overflow: auto; }
@media (max-width: 40rem) { .field { grid-template-columns: 1fr; } .field .error { grid-column: 1; } }
)css";

} // namespace ibisgw::console
