#pragma once

#include "replay/Simulation.h"

#include <string>

namespace papayabend::replay {

void schedule(Simulation&, TimePoint, EventKind, uint32_t host, uint64_t subject, uint64_t check);
void recordViolation(Simulation&, std::string text);
bool isCut(const Simulation&, uint32_t firstDomain, uint32_t secondDomain);
bool isUpstreamReachable(const Simulation&, const Host&, const Upstream&);

/** Performs the actions that a host's engine returned. */
void perform(Simulation&, Host&, engine::Actions&&);

void sendCall(Simulation&, Host&, routing::Attempt&&);
void cancelCall(Simulation&, Host&, routing::AttemptId);
void callArrives(Simulation&, uint32_t slot);
void serviceEnds(Simulation&, uint32_t slot);
void callDeadline(Simulation&, uint32_t slot);
void resultArrives(Simulation&, uint32_t slot);
void cancelArrives(Simulation&, uint32_t slot);
/** Forgets the calls of a host that died; the upstreams see their connections end. */
void dropCallsOf(Simulation&, Host&);

void readPlatform(Simulation&, Host&, const engine::ReadPlatform&);
void platformAnswers(Simulation&, uint32_t slot);
void platformWaitEnds(Simulation&, uint32_t slot);
/** Changes the host list after its lag. */
void listHost(Simulation&, uint32_t host, bool isListed);

void sendPeerMessage(Simulation&, Host&, engine::SendPeerMessage&&);
void peerMessageArrives(Simulation&, uint32_t host, uint32_t slot);
void tickHost(Simulation&, Host&);

/** Lets the caller obtain its ticket and send its execution. */
void executionRequested(Simulation&, Host&, Request&);
void executionArrives(Simulation&, uint32_t request);
void forwardExecution(Simulation&, Host&, engine::ForwardExecution&&);
void forwardArrives(Simulation&, uint32_t forward);
void forwardReplyArrives(Simulation&, uint32_t forward);
/** Sends the reply of a forwarded request back to its origin; returns whether \a id is one. */
bool replyToForward(Simulation&, Host&, routing::RequestId id, execution::ForwardReply);
/** Lets the origins of forwards that a dead host held learn that the outcome is unknown. */
void dropForwardsOf(Simulation&, Host&);
void refuse(Simulation&, Request&, const base::Refusal&);

void checkAnswer(Simulation&, const Request&, const query::SearchAnswer&);
void checkExecuted(Simulation&, const Request&, const std::string& body);
void checkOutcome(Simulation&, const Request&, const execution::OutcomeAnswer&);
void checkRefusal(Simulation&, const Request&, const base::Refusal&);
/** Records that a fake starts to run a call. */
void checkStart(Simulation&, const Call&);

/** Returns the document that the fake finds in a shard; it names request, snapshot and shard. */
std::string documentOf(std::string_view body, uint64_t snapshot, uint32_t shard, uint32_t n);

}
