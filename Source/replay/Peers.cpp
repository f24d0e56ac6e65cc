#include "replay/Internal.h"

namespace papayabend::replay {

void sendPeerMessage(World& world, Host& host, engine::SendPeerMessage&& action)
{
    ++world.peerMessagesSent;
    auto it = world.hostsByPeerAddress.find(action.peerAddress);
    if (it == world.hostsByPeerAddress.end()) {
        violate(world, "peer message to unknown address " + action.peerAddress);
        return;
    }
    auto& receiver = world.hosts[it->second];
    bool isLost = world.peerLoss > 0 && base::uniform(world.lossRandom) < world.peerLoss;
    if (!receiver.engine || isLost || isCut(world, host.domain, receiver.domain))
        return;
    if (world.freePeerMessages.empty()) {
        world.freePeerMessages.push_back(static_cast<uint32_t>(world.peerMessages.size()));
        world.peerMessages.emplace_back();
    }
    auto slot = world.freePeerMessages.back();
    world.freePeerMessages.pop_back();
    world.peerMessages[slot] = std::move(action.message);
    schedule(world, world.now + delayBetween(world, host.domain, receiver.domain), EventKind::PeerMessageArrives,
        receiver.index, slot, receiver.incarnation);
}

void peerMessageArrives(World& world, uint32_t n, uint32_t slot)
{
    auto message = std::move(world.peerMessages[slot]);
    world.freePeerMessages.push_back(slot);
    // A new process of the host listens on the same address, so it takes messages sent to the old one.
    auto& host = world.hosts[n];
    if (host.engine)
        perform(world, host, host.engine->peerMessage(message, world.now));
}

}
