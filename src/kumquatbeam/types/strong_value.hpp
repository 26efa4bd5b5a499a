#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace kumquatbeam {

/// A value that can only be compared with values of the same tag.
///
/// Ids are strong values over text or integers; quantities use `strong_quantity`, which also supports addition and
/// subtraction.
template <typename Tag, typename Value> struct strong_value {
    Value value {};

    friend bool operator==(const strong_value&, const strong_value&) = default;
    friend auto operator<=>(const strong_value&, const strong_value&) = default;
};

/// A strong value with a unit. Only quantities of the same unit can be added, subtracted and compared.
template <typename Tag, typename Value> struct strong_quantity {
    Value value {};

    friend bool operator==(const strong_quantity&, const strong_quantity&) = default;
    friend auto operator<=>(const strong_quantity&, const strong_quantity&) = default;

    strong_quantity& operator+=(strong_quantity other)
    {
        value += other.value;
        return *this;
    }

    strong_quantity& operator-=(strong_quantity other)
    {
        value -= other.value;
        return *this;
    }

    friend strong_quantity operator+(strong_quantity left, strong_quantity right) { return left += right; }
    friend strong_quantity operator-(strong_quantity left, strong_quantity right) { return left -= right; }
};

} // namespace kumquatbeam

template <typename Tag, typename Value> struct std::hash<kumquatbeam::strong_value<Tag, Value>> {
    std::size_t operator()(const kumquatbeam::strong_value<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.value);
    }
};
