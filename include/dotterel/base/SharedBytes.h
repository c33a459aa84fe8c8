//===- SharedBytes.h - Immutable bytes with several users -------*- C++ -*-===//
///
/// \file
/// Defines the type of large bodies, which are held once however many parts of
/// the process refer to them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_SHAREDBYTES_H
#define DOTTEREL_BASE_SHAREDBYTES_H

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace dotterel {

/// Bytes that do not change any more. A copy refers to the same bytes.
class SharedBytes {
public:
  SharedBytes() = default;
  // The conversions are implicit, so that a body is used like a string.
  SharedBytes(std::string Text) // NOLINT
      : m_Text(Text.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(Text))) {}
  SharedBytes(const char *Text) // NOLINT
      : SharedBytes(std::string(Text)) {}

  operator const std::string &() const { return text(); } // NOLINT

  [[nodiscard]] auto text() const -> const std::string & {
    static const auto Empty = std::string();
    return m_Text ? *m_Text : Empty;
  }
  [[nodiscard]] auto data() const -> const char * { return text().data(); }
  [[nodiscard]] auto size() const -> std::size_t { return text().size(); }
  [[nodiscard]] auto empty() const -> bool { return text().empty(); }
  [[nodiscard]] auto begin() const { return text().begin(); }
  [[nodiscard]] auto end() const { return text().end(); }
  [[nodiscard]] auto find(std::string_view Part) const -> std::size_t {
    return text().find(Part);
  }

  /// Keeps \p Guard for as long as anything refers to these bytes.
  auto keep(std::shared_ptr<void> Guard) -> void {
    struct Guarded {
      std::shared_ptr<void> m_Guard;
      std::shared_ptr<const std::string> m_Text;
    };
    if (!m_Text || !Guard)
      return;
    auto Both = std::make_shared<Guarded>(
        Guarded{.m_Guard = std::move(Guard), .m_Text = m_Text});
    m_Text = std::shared_ptr<const std::string>(Both, Both->m_Text.get());
  }

  friend auto operator==(const SharedBytes &Left, std::string_view Right)
      -> bool {
    return Left.text() == Right;
  }

private:
  std::shared_ptr<const std::string> m_Text; ///< Null if there are no bytes.
};

} // namespace dotterel

#endif // DOTTEREL_BASE_SHAREDBYTES_H
