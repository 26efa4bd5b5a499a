#include "kumquatbeam/settings/ini_text.hpp"

#include "kumquatbeam/types/failure.hpp"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Line numbers of sections and keys, which the property tree does not keep.
    class line_index {
    public:
        explicit line_index(const std::string& text)
        {
            std::istringstream stream(text);
            std::string line;
            std::string section;
            for (int number = 1; std::getline(stream, line); ++number) {
                boost::algorithm::trim(line);
                if (line.empty() || line.front() == ';' || line.front() == '#')
                    continue;
                if (line.front() == '[') {
                    section = line.substr(1, line.find(']') - 1);
                    boost::algorithm::trim(section);
                    m_lines[section] = number;
                    m_headings.push_back({ section, number });
                    continue;
                }
                std::string key = line.substr(0, line.find('='));
                boost::algorithm::trim(key);
                m_lines[pathOf(section, key)] = number;
            }
        }

        /// Every section heading in order, with its line.
        const std::vector<std::pair<std::string, int>>& headings() const { return m_headings; }

        int lineOf(const std::string& section) const { return find(section); }
        int lineOf(const std::string& section, const std::string& key) const { return find(pathOf(section, key)); }

    private:
        static std::string pathOf(const std::string& section, const std::string& key)
        {
            std::string path = section;
            path.append(1, '\n').append(key);
            return path;
        }

        int find(const std::string& path) const
        {
            const auto found = m_lines.find(path);
            return found == m_lines.end() ? 0 : found->second;
        }

        std::map<std::string, int> m_lines;
        std::vector<std::pair<std::string, int>> m_headings;
    };

    ini_section parseSectionHeading(const std::string& heading, int line)
    {
        const auto space = heading.find(' ');
        ini_section section { .kind = heading.substr(0, space), .name = {}, .line = line, .entries = {} };
        if (space != std::string::npos)
            section.name = boost::algorithm::trim_copy(heading.substr(space + 1));
        return section;
    }

} // namespace

absl::StatusOr<ini_text> parseIni(const std::string& text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return toStatus({ failure_kind::SyntaxError, "line " + std::to_string(error.line()), error.message(), "" });
    }

    const line_index lines(text);
    ini_text result;
    for (const auto& [heading, body] : tree) {
        if (body.empty() && !body.data().empty())
            return toStatus({ failure_kind::SyntaxError, "line " + std::to_string(lines.lineOf("", heading)), heading,
                "keys inside a section" });
        auto section = parseSectionHeading(heading, lines.lineOf(heading));
        for (const auto& [key, value] : body)
            section.entries.push_back({ key, value.data(), lines.lineOf(heading, key) });
        result.sections.push_back(std::move(section));
    }
    // The property tree omits sections without keys. They are added here so that they are checked as well.
    std::set<std::string> seen;
    for (const auto& [heading, line] : lines.headings()) {
        if (!seen.insert(heading).second)
            return toStatus(
                { failure_kind::SyntaxError, "line " + std::to_string(line), heading, "each section once" });
        if (tree.find(heading) == tree.not_found())
            result.sections.push_back(parseSectionHeading(heading, line));
    }
    return result;
}

} // namespace kumquatbeam
