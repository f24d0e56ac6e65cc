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

void readPlatform(World&, Host&, const std::string& key, uint64_t after);
void platformAnswers(World&, uint32_t slot);

void checkAnswer(World&, const Request&, const query::SearchAnswer&);
void checkRefusal(World&, const Request&, const base::Refusal&);
/** Records that a fake starts to run a call. */
void checkStart(World&, const Call&);

/** Returns the document that the fake finds in a shard; it names request, snapshot and shard. */
std::string documentOf(std::string_view body, uint64_t snapshot, uint32_t shard, uint32_t n);

}
