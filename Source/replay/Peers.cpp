#include "replay/Internal.h"

namespace papayabend::replay {

void sendPeerMessage(Simulation& simulation, Host& host, engine::SendPeerMessage&& action)
{
    ++simulation.peerMessagesSent;
    auto it = simulation.hostsByPeerAddress.find(action.peerAddress);
    if (it == simulation.hostsByPeerAddress.end()) {
        recordViolation(simulation, "peer message to unknown address " + action.peerAddress);
        return;
    }
    auto& receiver = simulation.hosts[it->second];
    bool isLost = simulation.peerLoss > 0 && base::uniform(simulation.lossRandom) < simulation.peerLoss;
    if (!receiver.engine || isLost || isCut(simulation, host.domain, receiver.domain))
        return;
    if (simulation.freePeerMessages.empty()) {
        simulation.freePeerMessages.push_back(static_cast<uint32_t>(simulation.peerMessages.size()));
        simulation.peerMessages.emplace_back();
    }
    auto slot = simulation.freePeerMessages.back();
    simulation.freePeerMessages.pop_back();
    simulation.peerMessages[slot] = std::move(action.message);
    schedule(simulation, simulation.now + delayBetween(simulation, host.domain, receiver.domain),
        EventKind::PeerMessageArrives, receiver.index, slot, receiver.incarnation);
}

void peerMessageArrives(Simulation& simulation, uint32_t n, uint32_t slot)
{
    auto message = std::move(simulation.peerMessages[slot]);
    simulation.freePeerMessages.push_back(slot);
    // A new process of the host listens on the same address, so it takes messages sent to the old one.
    auto& host = simulation.hosts[n];
    if (host.engine)
        perform(simulation, host, host.engine->peerMessage(message, simulation.now));
}

}
