#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/settings/Settings.h"
#include "papayabend/transport/CallerHttpApi.h"
#include "papayabend/transport/HttpServer.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/Shell.h"

#include <string>

namespace papayabend::transport {

/** \class OperatorHttpApi
 * \brief HTTP/JSON interface for operators. Every path only reads.
 */
class OperatorHttpApi {
public:
    OperatorHttpApi(engine::Engine&, Shell&, Metrics&, CallerHttpApi&, const settings::Settings&);

    /** Serves on the operator address until stop(); returns false if it cannot be bound. */
    bool start() { return m_server.start(m_settings.host.operatorAddress); }
    void stop() { m_server.stop(); }

    /** Returns why the host does not serve callers; empty while it serves. */
    std::string notServingReason() const;

private:
    std::string status() const;
    std::string table() const;
    std::string upstreams() const;
    Gauges gauges() const;

    engine::Engine& m_engine;
    Shell& m_shell;
    Metrics& m_metrics;
    CallerHttpApi& m_callerApi;
    settings::Settings m_settings;
    base::TimePoint m_started;
    HttpServer m_server;
};

}
