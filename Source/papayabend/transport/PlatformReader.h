#pragma once

#include "papayabend/engine/Action.h"
#include "papayabend/engine/ControlPath.h"

#include <functional>
#include <memory>
#include <string>

namespace papayabend::transport {

/** \class PlatformReader
 * \brief Reads values and the host list of the platform over HTTP, one read at a time for each key.
 */
class PlatformReader {
public:
    /** Called at the end of each read on a thread of the reader; \a text is empty unless a value was read. */
    using Done = std::function<void(const std::string& key, engine::ReadStatus, const std::string& text)>;

    /** \a address is the platform's IP address and port. If it is empty, every read fails. */
    PlatformReader(std::string address, Done done);
    ~PlatformReader();
    PlatformReader(const PlatformReader&) = delete;
    PlatformReader& operator=(const PlatformReader&) = delete;

    /** Starts a read without waiting for it. */
    void read(const engine::ReadPlatform&);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
