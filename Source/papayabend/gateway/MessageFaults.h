#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace papayabend::gateway {

/** \class MessageFaults
 * \brief Keeps an exception that is thrown while a message of a peer is handled from ending the process.
 *
 * The caller of contain() ends the connection on which the message came.
 */
class MessageFaults {
public:
    /** Receives the source of the message and the text of the exception. */
    using Report = std::function<void(std::string_view source, std::string_view reason)>;

    void setReport(Report report) { m_report = std::move(report); }

    /** Calls \a handle; returns whether it ended without an exception, which is counted and reported otherwise.
     * \a source: which kind of peer has sent the message. */
    template <typename Handle> bool contain(std::string_view source, Handle&& handle) noexcept
    {
        try {
            handle();
            return true;
        } catch (const std::exception& error) {
            record(source, error.what());
        } catch (...) {
            record(source, "an exception of unknown type");
        }
        return false;
    }

    /** Number of exceptions so far. */
    uint64_t count() const { return m_count; }

private:
    void record(std::string_view source, std::string_view reason) noexcept;

    Report m_report;
    uint64_t m_count { 0 };
};

}
