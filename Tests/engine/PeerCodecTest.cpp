#include "papayabend/transport/PeerCodec.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(PeerCodec) {};

// Guards against a field or section that is lost or swapped when a message is encoded and decoded.
TEST(PeerCodec, MessageRoundTripKeepsAllFields)
{
    engine::PeerMessage message;
    message.sender = { "a", "10.0.0.1:1", "10.0.0.1:2", "ruwi", "om", 7, 8, membership::HostState::Draining, 0.5 };
    message.probe = 9;
    message.answerTo = 10;
    message.digests = { { "table", 11, 12 } };
    message.valueRequests = { { "catalog", 13, 14 } };
    message.deltas = { { "hosts", 15, 16, 17, std::string("\0\xFF", 2) } };
    message.hosts = { message.sender, message.sender };
    message.demand = { { "acct", "svc", 1.5, 2.5, 3.5, 28 } };
    message.leases = { { 18, "l", "b", "acct", "svc", 4.5, 19 } };
    message.quarantine = { { 20, 2, true, 21 } };
    message.ticketRecords = { { { "h", 22, 23 }, "acct", "svc", execution::TicketState::Finished, base::Verdict::Ran,
        "body", 24, base::RefusalCode::Overloaded } };
    message.demandSequence = 25;
    message.countsReceiver = true;
    message.handOver = 26;
    message.handOverAck = 27;
    auto wire = transport::toEnvelope(message).SerializeAsString();
    protocol::PeerEnvelope envelope;
    CHECK(envelope.ParseFromString(wire));
    auto copy = transport::fromEnvelope(envelope);
    CHECK(copy.deltas[0].text == message.deltas[0].text);
    CHECK(copy.hosts.size() == 2 && copy.hosts[1].state == membership::HostState::Draining);
    CHECK(copy.demand[0].backlog == 3.5 && copy.demand[0].serviceTimeUs == 28 && copy.leases[0].validityUs == 19
        && copy.quarantine[0].isQuarantined);
    CHECK(copy.ticketRecords[0].verdict == base::Verdict::Ran && copy.answerTo == 10);
    CHECK(copy.demandSequence == 25 && copy.countsReceiver && copy.handOver == 26 && copy.handOverAck == 27);
    CHECK(copy.ticketRecords[0].fingerprint == 24 && copy.ticketRecords[0].code == base::RefusalCode::Overloaded);
    CHECK(wire == transport::toEnvelope(copy).SerializeAsString());
}

// Guards against a ticket record that is read as NotRun because its verdict is missing or unknown.
TEST(PeerCodec, MissingOrUnknownVerdictMeansMayHaveRun)
{
    protocol::PeerEnvelope envelope;
    envelope.add_ticket_records();
    CHECK(transport::fromEnvelope(envelope).ticketRecords[0].verdict == base::Verdict::MayHaveRun);
    envelope.mutable_ticket_records(0)->set_verdict(static_cast<protocol::Verdict>(77));
    CHECK(transport::fromEnvelope(envelope).ticketRecords[0].verdict == base::Verdict::MayHaveRun);
}
