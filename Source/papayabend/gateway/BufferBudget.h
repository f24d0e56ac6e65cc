#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace papayabend::gateway {

class BufferHold;

/** \struct BufferBudget
 * \brief Bytes of messages that the connections of a host hold together: received, being handled, or not yet sent.
 *
 * Each message has a bound of its own, but many peers whose bytes never end, or are never read, would still fill the
 * memory of a host. Used only on one thread.
 */
struct BufferBudget {
    /** Beyond this sum the largest holds are revoked, as far as they are larger than smallBytes. */
    uint64_t maxBytes { 32 * 1024 * 1024 };
    /** Beyond this sum the largest holds are revoked whatever their size. */
    uint64_t hardMaxBytes { 48 * 1024 * 1024 };
    uint64_t smallBytes { 64 * 1024 };
    uint64_t bytes { 0 };
    uint64_t revoked { 0 }; /**< Number of holds that were revoked or could not grow. */
    size_t holds { 0 }; /**< Number of holds. */
    /** Holds that can be revoked, by the number of bits of their size: the largest is found within a factor of two
     * without a search. */
    std::array<std::vector<BufferHold*>, 65> bySize;
};

/** \class BufferHold
 * \brief Part of a budget that one message or connection uses; returns it when destroyed.
 */
class BufferHold {
public:
    /** Called when the bytes have to be given up, while another hold grows: it must not change any hold at once. */
    using OnRevoked = std::function<void()>;

    /** \a budget: nullptr for a hold without bound. \a onRevoked: empty for a hold that is never revoked. */
    explicit BufferHold(std::shared_ptr<BufferBudget> budget, OnRevoked onRevoked = nullptr);
    ~BufferHold();
    BufferHold(const BufferHold&) = delete;
    BufferHold& operator=(const BufferHold&) = delete;

    /** Sets the number of bytes; returns false if they have to be given up instead. To make room, larger holds are
     * revoked first. */
    bool resize(uint64_t bytes);
    /** From now on the bytes are in use and are not revoked. */
    void commit();
    /** Returns all bytes; the hold can be used again. */
    void release();
    uint64_t bytes() const { return m_bytes; }
    /** The owner has not yet released a hold that was revoked. */
    bool isRevoked() const { return m_isRevoked; }

private:
    void setBytes(uint64_t);
    void returnBytes();
    void leaveGroup();
    void revoke();

    std::shared_ptr<BufferBudget> m_budget;
    OnRevoked m_onRevoked;
    uint64_t m_bytes { 0 };
    size_t m_group { 0 }; // in bySize; group 0, without bytes, is not kept
    size_t m_index { 0 }; // in the group
    bool m_isRevoked { false };
};

}
