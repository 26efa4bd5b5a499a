#pragma once

#include "kumquatbeam/types/strong_value.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// One part of a prompt. Requests that begin with the same parts share them in an engine's prefix cache.
using prompt_part_id = strong_value<struct prompt_part_tag, std::uint64_t>;

/// A part of a prompt and its length.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// What a caller says about the prompt of a model request. Empty for calls to plain services.
struct prompt_metadata {
    std::string model;
    /// Tokens of the whole prompt.
    token_count promptTokens;
    /// Most tokens that may be generated.
    token_count outputLimit;
    /// The parts in order; the last one belongs to the request itself or to its session.
    std::vector<prompt_part> parts;

    bool isEmpty() const { return promptTokens.value == 0; }

    /// What the request costs where a prompt token counts once and a generated one twice.
    token_count cost() const { return promptTokens + outputLimit + outputLimit; }

    /// Tokens that other requests may have in common with this one.
    token_count sharedTokens() const
    {
        token_count shared;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            shared += parts[i].tokens;
        return shared;
    }
};

} // namespace kumquatbeam
