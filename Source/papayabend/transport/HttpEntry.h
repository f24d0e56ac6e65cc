#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/transport/Shell.h"

#include <memory>
#include <string>

namespace papayabend::transport {

/** \class HttpEntry
 * \brief HTTP/JSON interface for callers.
 */
class HttpEntry {
public:
    HttpEntry(engine::Engine&, Shell&);
    ~HttpEntry();
    HttpEntry(const HttpEntry&) = delete;
    HttpEntry& operator=(const HttpEntry&) = delete;

    /** Serves until stop(); returns false if the address cannot be bound. */
    bool serve(const std::string& ip, int port);
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
