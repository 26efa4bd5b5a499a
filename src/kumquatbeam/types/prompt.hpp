#pragma once

#include "kumquatbeam/types/strong_value.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// Id of a part of a prompt. Requests that begin with the same parts share them in an engine's prompt prefix cache.
using prompt_part_id = strong_value<struct prompt_part_tag, std::uint64_t>;

/// A part of a prompt and its length.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// Prompt metadata that a caller sends with a model request. Empty for calls to plain services.
struct prompt_metadata {
    std::string model;
    /// Tokens of the whole prompt.
    token_count promptTokens;
    /// Maximum number of generated tokens.
    token_count outputLimit;
    /// The parts in order; the last one belongs to the request itself or to its session.
    std::vector<prompt_part> parts;

    bool isEmpty() const { return promptTokens.value == 0; }

    /// Cost of the request: a prompt token counts once, a generated token twice.
    token_count cost() const { return promptTokens + outputLimit + outputLimit; }

    /// Tokens that other requests may share with this one: all parts except the last.
    token_count sharedTokens() const
    {
        token_count shared;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            shared += parts[i].tokens;
        return shared;
    }
};

} // namespace kumquatbeam
