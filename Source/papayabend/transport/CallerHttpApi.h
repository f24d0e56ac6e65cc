#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/settings/Settings.h"
#include "papayabend/transport/HttpServer.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/Shell.h"

#include <string>

namespace papayabend::transport {

/** \class CallerHttpApi
 * \brief HTTP/JSON interface for callers.
 */
class CallerHttpApi {
public:
    CallerHttpApi(engine::Engine&, Shell&, Metrics&, const settings::HttpServerSettings&);

    /** Serves on \a address until stop(); returns false if it cannot be bound. */
    bool start(const std::string& address) { return m_server.start(address); }
    void stopAccepting() { m_server.stopAccepting(); }
    void stop() { m_server.stop(); }
    HttpServer& server() { return m_server; }

private:
    void search(const httplib::Request&, httplib::Response&);

    engine::Engine& m_engine;
    Shell& m_shell;
    Metrics& m_metrics;
    settings::HttpServerSettings m_settings;
    HttpServer m_server;
};

/** Parses the JSON body of a search; \a received is the time from which deadlineMs counts. */
std::optional<query::SearchRequest> parseSearch(
    std::string_view body, base::TimePoint received, const settings::HttpServerSettings&, base::LastReason& reason);

}
