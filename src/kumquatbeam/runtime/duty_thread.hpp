#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace kumquatbeam {

/// A named thread that runs one I/O context until it is stopped. An exception that leaves a handler is logged, and the
/// thread goes on with the next handler.
class duty_thread {
public:
    explicit duty_thread(std::string name);
    ~duty_thread();

    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    boost::asio::io_context& context() { return m_context; }
    const std::string& name() const { return m_name; }

    void start();
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace kumquatbeam
