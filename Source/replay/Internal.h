#pragma once

#include "replay/World.h"

#include <string>

namespace papayabend::replay {

void schedule(World&, TimePoint, EventKind, uint32_t host, uint64_t subject, uint64_t check);
void violate(World&, std::string text);
bool isCut(const World&, uint32_t firstDomain, uint32_t secondDomain);
bool isUpstreamReachable(const World&, const Host&, const Upstream&);

/** Performs the actions that a host's engine returned. */
void perform(World&, Host&, engine::Actions&&);

void sendCall(World&, Host&, routing::Attempt&&);
void cancelCall(World&, Host&, routing::AttemptId);
void callArrives(World&, uint32_t slot);
void serviceEnds(World&, uint32_t slot);
void callDeadline(World&, uint32_t slot);
void resultArrives(World&, uint32_t slot);
void cancelArrives(World&, uint32_t slot);
/** Forgets the calls of a host that died; the upstreams see their connections end. */
void dropCallsOf(World&, Host&);

void readPlatform(World&, Host&, const engine::ReadPlatform&);
void platformAnswers(World&, uint32_t slot);
void platformWaitEnds(World&, uint32_t slot);
/** Changes the host list after its lag. */
void listHost(World&, uint32_t host, bool isListed);

void sendPeerMessage(World&, Host&, engine::SendPeerMessage&&);
void peerMessageArrives(World&, uint32_t host, uint32_t slot);
void tickHost(World&, Host&);

/** Lets the caller obtain its ticket and send its execution. */
void executionRequested(World&, Host&, Request&);
void executionArrives(World&, uint32_t request);
void forwardExecution(World&, Host&, engine::ForwardExecution&&);
void forwardArrives(World&, uint32_t forward);
void forwardReplyArrives(World&, uint32_t forward);
/** Sends the reply of a forwarded request back to its origin; returns whether \a id is one. */
bool replyToForward(World&, Host&, routing::RequestId id, execution::ForwardReply);
/** Lets the origins of forwards that a dead host held learn that the outcome is unknown. */
void dropForwardsOf(World&, Host&);
void refuse(World&, Request&, const base::Refusal&);

void checkAnswer(World&, const Request&, const query::SearchAnswer&);
void checkExecuted(World&, const Request&, const std::string& body);
void checkOutcome(World&, const Request&, const execution::OutcomeAnswer&);
void checkRefusal(World&, const Request&, const base::Refusal&);
/** Records that a fake starts to run a call. */
void checkStart(World&, const Call&);

/** Returns the document that the fake finds in a shard; it names request, snapshot and shard. */
std::string documentOf(std::string_view body, uint64_t snapshot, uint32_t shard, uint32_t n);

}
