#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace papayabend::replay {

enum class EventKind : uint8_t {
    NextArrival, /**< The arrival source is due. */
    ExecutionArrives, /**< subject: index in Simulation::requests. */
    ForwardArrives, /**< subject: index in Simulation::forwards. */
    ForwardReplyArrives, /**< subject: index in Simulation::forwards. */
    RequestArrives, /**< subject: index in Simulation::requests. */
    CallArrives, /**< A call reaches its upstream. subject: call slot, check: its generation. */
    ServiceEnds, /**< subject: call slot, check: its generation. */
    CallDeadline, /**< subject: call slot, check: its generation. */
    ResultArrives, /**< A call's result reaches its host. subject: call slot, check: its generation. */
    CancelArrives, /**< A cancellation reaches the upstream. subject: call slot, check: its generation. */
    Timer, /**< subject: request number of the host, check: incarnation of the host. */
    Tick, /**< check: incarnation of the host. */
    PlatformAnswers, /**< A read's end reaches its host. subject: read slot, check: its generation. */
    PlatformWaitEnds, /**< subject: read slot, check: its generation. */
    PeerMessageArrives, /**< subject: index in Simulation::peerMessages, check: incarnation of the receiver. */
    Scripted, /**< subject: index in Simulation::scripts. */
};

/** \struct Event
 * \brief Something that happens at a virtual time. Events of equal time happen in the order of their creation.
 */
struct Event {
    base::TimePoint at {};
    uint64_t order { 0 };
    uint64_t subject { 0 };
    uint64_t check { 0 };
    uint32_t host { 0 };
    EventKind kind { EventKind::Scripted };
};

struct LaterEvent {
    bool operator()(const Event& first, const Event& second) const
    {
        return first.at != second.at ? first.at > second.at : first.order > second.order;
    }
};

using EventQueue = std::priority_queue<Event, std::vector<Event>, LaterEvent>;

}
