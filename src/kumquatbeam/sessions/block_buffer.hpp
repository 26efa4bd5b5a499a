#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// Collects the bytes of an answer in blocks of one size. A single string would be copied each time that it grows, and
/// the strings of many answers would leave holes of all sizes in the heap.
class block_buffer {
public:
    static constexpr std::size_t blockSize = 64 * 1024;

    void append(std::string_view bytes);

    std::size_t size() const { return m_size; }

    /// Bytes of memory that the buffer holds.
    std::size_t heldBytes() const;

    /// Removes and returns all bytes.
    std::string take();

private:
    /// All but the last one are full.
    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
};

} // namespace kumquatbeam
