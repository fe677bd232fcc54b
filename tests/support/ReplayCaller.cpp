#include "support/ReplayCaller.h"

#include <array>

namespace support {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

constexpr std::array<core::Duration, 3> openingTransmissions { 0ms, 200ms, 600ms };
constexpr core::Duration openTimeout = 1400ms;
constexpr std::array<core::Duration, 4> requestTransmissions { 0ms, 200ms, 600ms, 1400ms };
constexpr unsigned maxTries = 3;
constexpr std::uint32_t packetBytes = 1200;

} // namespace

ReplayCaller::ReplayCaller(
    const RoutePattern& route, core::Endpoint service, std::uint32_t address, MessageQueue& queue, Send send)
    : m_route(route)
    , m_queue(queue)
    , m_send(std::move(send))
    , m_flow { { address, 1024 }, service }
{
}

void ReplayCaller::request(core::Duration serviceTime, Finish finish)
{
    m_isBusy = true;
    m_tries = 0;
    m_startedAt = m_queue.now();
    m_serviceTime = serviceTime;
    m_finish = std::move(finish);
    m_queue.after(m_route.deadline, [this, number = ++m_requestNumber](auto) {
        if (m_isBusy && number == m_requestNumber)
            this->finish(false);
    });
    startTry();
}

void ReplayCaller::startTry()
{
    ++m_tries;
    if (m_isOpen)
        startRequest();
    else
        openFlow();
}

void ReplayCaller::openFlow()
{
    ++m_flow.caller.port;
    m_token = 0;
    m_sequence = 1;
    m_receivedSequence = 0;
    m_acknowledged = 500;
    ++m_flowNumber;
    transmit(openingTransmissions, [this, flow = m_flowNumber](auto number) { return sendOpening(flow, number); });
    m_queue.after(openTimeout, [this, number = m_flowNumber](auto) {
        if (m_isBusy && !m_isOpen && number == m_flowNumber)
            failTry(true);
    });
}

// Sends at each time of the schedule, which counts from the first transmission, until `send` returns false.
void ReplayCaller::transmit(std::span<const core::Duration> schedule, const Transmit& send, std::size_t number)
{
    const auto next = number + 1;
    if (!send(number) || next == schedule.size())
        return;
    m_queue.after(schedule[next] - schedule[number], [=, this](auto) { transmit(schedule, send, next); });
}

bool ReplayCaller::sendOpening(std::uint32_t flowNumber, std::size_t transmission)
{
    if (!m_isBusy || m_isOpen || flowNumber != m_flowNumber)
        return false;
    direct::FlowSegment segment;
    segment.flow = m_flow;
    segment.isOpening = true;
    segment.acknowledged = static_cast<std::uint32_t>(transmission);
    m_send(segment);
    return true;
}

void ReplayCaller::handleOpened(const core::FlowKey& flow, std::uint32_t token)
{
    if (flow != m_flow || m_isOpen || !m_isBusy)
        return;
    m_isOpen = true;
    m_token = token;
    startRequest();
}

void ReplayCaller::startRequest()
{
    transmit(requestTransmissions,
        [this, flow = m_flowNumber, sequence = m_sequence](auto) { return sendRequest(flow, sequence); });
}

bool ReplayCaller::sendRequest(std::uint32_t flowNumber, std::uint32_t sequence)
{
    const bool isCurrent = flowNumber == m_flowNumber && sequence == m_sequence;
    if (!m_isBusy || !m_isOpen || !isCurrent || m_receivedSequence == sequence)
        return false;
    auto segment = nextSegment();
    segment.payloadBytes = m_route.requestBytes;
    m_send(segment);
    return true;
}

void ReplayCaller::handleReceived(std::uint32_t sequence)
{
    m_receivedSequence = sequence;
}

void ReplayCaller::handleAnswer(const core::FlowKey& flow, bool isExecuted)
{
    if (!m_isBusy || flow != m_flow)
        return;
    m_sequence += m_route.requestBytes;
    m_acknowledged += (isExecuted ? m_route.responsePackets : 1) * packetBytes;
    const bool keepsFlow = m_route.persistentFlows > 0 && isExecuted;
    if (!keepsFlow || m_route.responsePackets > 1)
        acknowledge(!keepsFlow);
    m_isOpen = keepsFlow;
    if (isExecuted)
        finish(true);
    else
        failTry(true);
}

void ReplayCaller::handleReset(const core::FlowKey& flow)
{
    if (!m_isBusy || flow != m_flow)
        return;
    const bool mayRetry = !m_isOpen || direct::isIdempotent(m_route.kind);
    m_isOpen = false;
    failTry(mayRetry);
}

void ReplayCaller::acknowledge(bool isFinishing)
{
    auto segment = nextSegment();
    segment.isFinishing = isFinishing;
    m_send(segment);
}

void ReplayCaller::failTry(bool mayRetry)
{
    if (!mayRetry || m_tries >= maxTries)
        finish(false);
    else
        startTry();
}

void ReplayCaller::finish(bool isAnswered)
{
    m_isBusy = false;
    if (!isAnswered)
        m_isOpen = false;
    m_finish(isAnswered ? std::optional(m_queue.now() - m_startedAt) : std::nullopt);
}

direct::FlowSegment ReplayCaller::nextSegment() const
{
    direct::FlowSegment segment;
    segment.flow = m_flow;
    segment.token = m_token;
    segment.sequence = m_sequence;
    segment.acknowledged = m_acknowledged;
    segment.isAcknowledging = true;
    return segment;
}

} // namespace support
