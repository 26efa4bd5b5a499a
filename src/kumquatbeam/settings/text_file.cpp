#include "kumquatbeam/settings/text_file.hpp"

#include "kumquatbeam/types/failure.hpp"

#include <fstream>
#include <iterator>

namespace kumquatbeam {

absl::StatusOr<std::string> readTextFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return toStatus({ failure_kind::FileUnreadable, path });
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace kumquatbeam
