#include "kumquatbeam/sessions/block_buffer.hpp"

#include <utility>

namespace kumquatbeam {

void block_buffer::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == blockSize) {
            // Most answers fit into a part of the first block.
            const bool isFirst = m_blocks.empty();
            m_blocks.emplace_back();
            if (!isFirst)
                m_blocks.back().reserve(blockSize);
        }
        auto& last = m_blocks.back();
        const auto part = bytes.substr(0, blockSize - last.size());
        last.append(part);
        bytes.remove_prefix(part.size());
    }
}

std::size_t block_buffer::heldBytes() const
{
    return m_blocks.empty() ? 0 : (m_blocks.size() - 1) * blockSize + m_blocks.back().capacity();
}

std::string block_buffer::take()
{
    auto blocks = std::exchange(m_blocks, {});
    const auto size = std::exchange(m_size, 0);
    if (blocks.empty())
        return {};
    auto whole = std::move(blocks.front());
    whole.reserve(size);
    for (std::size_t block = 1; block < blocks.size(); ++block) {
        whole.append(blocks[block]);
        // Freed at once, so that the bytes are not held twice.
        std::string().swap(blocks[block]);
    }
    return whole;
}

} // namespace kumquatbeam
