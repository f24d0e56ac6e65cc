#include "papayabend/transport/PeerCodec.h"

#include <algorithm>
#include <iterator>

namespace papayabend::transport {

namespace {

    using admission::DemandReport;
    using admission::QuotaLease;
    using dissemination::ValueDigest;
    using engine::ValueDelta;
    using engine::ValueRequest;
    using execution::TicketRecord;
    using execution::TicketState;
    using membership::HostObservation;
    using membership::HostState;
    using routing::QuarantineNotice;

    // Both enumerations list the host states in the same order.
    static_assert(static_cast<int>(HostState::Gone) == protocol::HOST_STATE_GONE);
    static_assert(static_cast<int>(TicketState::Closed) == protocol::TICKET_STATE_CLOSED);

    HostState hostStateOf(protocol::HostState state)
    {
        return protocol::HostState_IsValid(state) ? static_cast<HostState>(state) : HostState::Suspected;
    }

    // A ticket in an unknown state may have been used.
    TicketState ticketStateOf(protocol::TicketState state)
    {
        return protocol::TicketState_IsValid(state) ? static_cast<TicketState>(state) : TicketState::Sent;
    }

    protocol::Verdict toWire(base::Verdict verdict)
    {
        switch (verdict) {
        case base::Verdict::NotRun:
            return protocol::VERDICT_NOT_RUN;
        case base::Verdict::Ran:
            return protocol::VERDICT_RAN;
        case base::Verdict::MayHaveRun:
            break;
        }
        return protocol::VERDICT_MAY_HAVE_RUN;
    }

    base::Verdict verdictOf(protocol::Verdict verdict)
    {
        switch (verdict) {
        case protocol::VERDICT_NOT_RUN:
            return base::Verdict::NotRun;
        case protocol::VERDICT_RAN:
            return base::Verdict::Ran;
        default:
            return base::Verdict::MayHaveRun;
        }
    }

    base::RefusalCode refusalCodeOf(std::string_view name)
    {
        for (auto n = 0U; n <= static_cast<unsigned>(base::RefusalCode::Internal); ++n) {
            if (base::toString(static_cast<base::RefusalCode>(n)) == name)
                return static_cast<base::RefusalCode>(n);
        }
        return base::RefusalCode::OutcomeUnknown;
    }

    void encode(const HostObservation& it, protocol::HostObservation& wire)
    {
        wire.set_name(it.name);
        wire.set_caller_address(it.callerAddress);
        wire.set_peer_address(it.peerAddress);
        wire.set_failure_domain(it.failureDomain);
        wire.set_region(it.region);
        wire.set_incarnation(it.incarnation);
        wire.set_heartbeat(it.heartbeat);
        wire.set_state(static_cast<protocol::HostState>(it.state));
        wire.set_load(static_cast<float>(it.load));
    }

    HostObservation decode(const protocol::HostObservation& wire)
    {
        return { wire.name(), wire.caller_address(), wire.peer_address(), wire.failure_domain(), wire.region(),
            wire.incarnation(), wire.heartbeat(), hostStateOf(wire.state()), wire.load() };
    }

    void encode(const ValueDigest& it, protocol::ValueDigest& wire)
    {
        wire.set_key(it.key);
        wire.set_version(it.version);
        wire.set_content_hash(it.contentHash);
    }

    ValueDigest decode(const protocol::ValueDigest& wire)
    {
        return { wire.key(), wire.version(), wire.content_hash() };
    }

    void encode(const ValueRequest& it, protocol::ValueRequest& wire)
    {
        wire.set_key(it.key);
        wire.set_have_version(it.haveVersion);
        wire.set_have_content_hash(it.haveContentHash);
    }

    ValueRequest decode(const protocol::ValueRequest& wire)
    {
        return { wire.key(), wire.have_version(), wire.have_content_hash() };
    }

    void encode(const ValueDelta& it, protocol::ValueDelta& wire)
    {
        wire.set_key(it.key);
        wire.set_base_version(it.baseVersion);
        wire.set_version(it.version);
        wire.set_content_hash(it.contentHash);
        wire.set_text(it.text);
    }

    ValueDelta decode(const protocol::ValueDelta& wire)
    {
        return { wire.key(), wire.base_version(), wire.version(), wire.content_hash(), wire.text() };
    }

    void encode(const DemandReport& it, protocol::DemandReport& wire)
    {
        wire.set_account(it.account);
        wire.set_service(it.service);
        wire.set_arrivals_per_second(it.arrivalsPerSecond);
        wire.set_served_per_second(it.servedPerSecond);
        wire.set_backlog(it.backlog);
        wire.set_service_time_us(it.serviceTimeUs);
    }

    DemandReport decode(const protocol::DemandReport& wire)
    {
        return { wire.account(), wire.service(), wire.arrivals_per_second(), wire.served_per_second(), wire.backlog(),
            wire.service_time_us() };
    }

    void encode(const QuotaLease& it, protocol::QuotaLease& wire)
    {
        wire.set_id(it.id);
        wire.set_lender(it.lender);
        wire.set_borrower(it.borrower);
        wire.set_account(it.account);
        wire.set_service(it.service);
        wire.set_requests_per_second(it.requestsPerSecond);
        wire.set_validity_us(it.validityUs);
        wire.set_basis(it.basis);
    }

    QuotaLease decode(const protocol::QuotaLease& wire)
    {
        return { wire.id(), wire.lender(), wire.borrower(), wire.account(), wire.service(), wire.requests_per_second(),
            wire.validity_us(), wire.basis() };
    }

    void encode(const QuarantineNotice& it, protocol::QuarantineNotice& wire)
    {
        wire.set_fingerprint(it.fingerprint);
        wire.set_crashes(it.crashes);
        wire.set_quarantined(it.isQuarantined);
        wire.set_validity_us(it.validityUs);
        wire.set_lost_upstream(it.lostUpstream);
        wire.set_shard(it.shard);
    }

    QuarantineNotice decode(const protocol::QuarantineNotice& wire)
    {
        return { wire.fingerprint(), wire.crashes(), wire.quarantined(), wire.validity_us(), wire.lost_upstream(),
            wire.shard() };
    }

    void encode(const TicketRecord& it, protocol::TicketRecord& wire)
    {
        wire.set_host(it.id.host);
        wire.set_incarnation(it.id.incarnation);
        wire.set_sequence(it.id.sequence);
        wire.set_account(it.account);
        wire.set_service(it.service);
        wire.set_state(static_cast<protocol::TicketState>(it.state));
        wire.set_verdict(toWire(it.verdict));
        wire.set_body(it.body);
        wire.set_fingerprint(it.fingerprint);
        wire.set_code(std::string(base::toString(it.code)));
    }

    TicketRecord decode(const protocol::TicketRecord& wire)
    {
        return { { wire.host(), wire.incarnation(), wire.sequence() }, wire.account(), wire.service(),
            ticketStateOf(wire.state()), verdictOf(wire.verdict()), wire.body(), wire.fingerprint(),
            refusalCodeOf(wire.code()) };
    }

    template <typename Items, typename Wire> void encodeAll(const Items& items, Wire* wire)
    {
        for (const auto& it : items)
            encode(it, *wire->Add());
    }

    template <typename Wire, typename Items> void decodeAll(const Wire& wire, Items& items)
    {
        std::ranges::transform(wire, std::back_inserter(items), [](const auto& it) { return decode(it); });
    }

}

protocol::PeerEnvelope toEnvelope(const engine::PeerMessage& message)
{
    protocol::PeerEnvelope envelope;
    encode(message.sender, *envelope.mutable_sender());
    envelope.set_probe(message.probe);
    envelope.set_answer_to(message.answerTo);
    encodeAll(message.digests, envelope.mutable_digests());
    encodeAll(message.valueRequests, envelope.mutable_value_requests());
    encodeAll(message.deltas, envelope.mutable_deltas());
    encodeAll(message.hosts, envelope.mutable_hosts());
    encodeAll(message.demand, envelope.mutable_demand());
    encodeAll(message.leases, envelope.mutable_leases());
    encodeAll(message.quarantine, envelope.mutable_quarantine());
    encodeAll(message.ticketRecords, envelope.mutable_ticket_records());
    envelope.set_demand_sequence(message.demandSequence);
    envelope.set_counts_receiver(message.countsReceiver);
    envelope.set_hand_over(message.handOver);
    envelope.set_hand_over_ack(message.handOverAck);
    return envelope;
}

engine::PeerMessage fromEnvelope(const protocol::PeerEnvelope& envelope)
{
    engine::PeerMessage message;
    message.sender = decode(envelope.sender());
    message.probe = envelope.probe();
    message.answerTo = envelope.answer_to();
    decodeAll(envelope.digests(), message.digests);
    decodeAll(envelope.value_requests(), message.valueRequests);
    decodeAll(envelope.deltas(), message.deltas);
    decodeAll(envelope.hosts(), message.hosts);
    decodeAll(envelope.demand(), message.demand);
    decodeAll(envelope.leases(), message.leases);
    decodeAll(envelope.quarantine(), message.quarantine);
    decodeAll(envelope.ticket_records(), message.ticketRecords);
    message.demandSequence = envelope.demand_sequence();
    message.countsReceiver = envelope.counts_receiver();
    message.handOver = envelope.hand_over();
    message.handOverAck = envelope.hand_over_ack();
    return message;
}

}
