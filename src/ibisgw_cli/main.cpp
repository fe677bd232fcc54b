#include "ibisgw_cli/Commands.h"

#include <curl/curl.h>
#include <iostream>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto status = ibisgw_cli::runCommandLine({ argv + 1, argv + argc }, std::cout, std::cerr);
    curl_global_cleanup();
    return static_cast<int>(status);
}
