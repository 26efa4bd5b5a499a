#include "kumquatbeam/runtime/duty_thread.hpp"

#include "kumquatbeam/runtime/containment.hpp"

#include <pthread.h>

#include <utility>

namespace kumquatbeam {

namespace {

    /// Longest thread name that the kernel accepts.
    constexpr std::size_t threadNameLimit = 15;

    /// Concurrency hint: a single thread runs the context, so Asio can avoid most locks.
    constexpr int singleThreaded = 1;

} // namespace

duty_thread::duty_thread(std::string name)
    : m_name(std::move(name))
    , m_context(singleThreaded)
    , m_work(m_context.get_executor())
{
}

duty_thread::~duty_thread()
{
    stop();
}

void duty_thread::start()
{
    m_thread = std::thread([this] {
        while (!runContained(m_name, [this] { m_context.run(); })) { }
    });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, threadNameLimit).c_str());
}

void duty_thread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace kumquatbeam
