#include "exit_code.hpp"

#include "kumquatbeam/load/load_run.hpp"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char usage[] = R"(kumquatbeam-status: asks a running router what it does.

Usage:
  kumquatbeam-status ADDRESS
  kumquatbeam-status --help
  kumquatbeam-status --version

ADDRESS is the router's operator address, ADDRESS:PORT. Prints JSON.
Exit codes: 0 answered, 2 wrong command line, 4 the router cannot be reached.
)";

std::string fetchStatus(const boost::asio::ip::tcp::endpoint& router)
{
    namespace http = boost::beast::http;
    constexpr unsigned http11 = 11;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(router);
    http::request<http::empty_body> request(http::verb::get, "/status", http11);
    request.set(http::field::host, "router");
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    return response.body();
}

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-status " KUMQUATBEAM_VERSION);
    const auto routers = parseTargets(arguments.at("ADDRESS").asString());
    if (routers.size() != 1) {
        std::cerr << "ADDRESS: allowed ADDRESS:PORT\n";
        return exitUsage;
    }
    try {
        std::cout << fetchStatus(routers.front());
    } catch (const boost::system::system_error& error) {
        std::cerr << "the router cannot be reached: " << error.what() << "\n";
        return exitUnreachable;
    }
    return exitOk;
}
