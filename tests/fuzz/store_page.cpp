#include "fuzzed_text.hpp"

#include "platform/store_page.hpp"

// A page is refused, or each of its items is either taken or counted as unreadable.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    const auto page = platform::decodeStorePage(textOf(data, size));
    if (page.ok()) {
        require(page->faults.size() <= page->unreadableItems);
        require(!page->hasMore || !page->lastKey.empty());
        static_cast<void>(platform::storePageTarget(page->lastKey));
    }
    return 0;
}
