#include "kumquatbeam/types/excerpt.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    constexpr char lowestPrintable = ' ';
    constexpr char deleteCharacter = '\x7f';
    constexpr char replacement = '.';
    constexpr std::string_view ellipsis = "...";

    /// Bytes of multi-byte characters count as printable.
    bool isControl(char character)
    {
        return static_cast<unsigned char>(character) < static_cast<unsigned char>(lowestPrintable)
            || character == deleteCharacter;
    }

} // namespace

std::string excerptOf(std::string_view text, std::size_t limit)
{
    std::string excerpt(text.substr(0, limit));
    std::replace_if(
        excerpt.begin(), excerpt.end(), [](char character) { return isControl(character) || character == '"'; },
        replacement);
    if (text.size() > limit)
        excerpt.append(ellipsis);
    return excerpt;
}

bool isHeaderSafe(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), isControl);
}

} // namespace kumquatbeam
