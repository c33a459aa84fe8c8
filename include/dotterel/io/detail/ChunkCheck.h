//===- ChunkCheck.h - Framing of a chunked body -----------------*- C++ -*-===//
///
/// \file
/// Declares a check of the bytes between the chunks of a body, where the parser
/// library accepts any.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_CHUNKCHECK_H
#define DOTTEREL_IO_DETAIL_CHUNKCHECK_H

#include <cstdint>
#include <string_view>

namespace dotterel::detail {

/// Reads a chunked body as it arrives, up to the line of its last chunk.
class ChunkCheck {
public:
  /// Reads \p Bytes, of which it leaves what follows the last chunk's line.
  /// \returns whether the framing is valid so far.
  auto feed(std::string_view &Bytes) -> bool;

private:
  enum class State : std::uint8_t {
    Size,
    Extension,
    SizeEnd, ///< After the CR of a chunk's line.
    Data,
    DataEnd,
    Ended,
  };

  /// Reads one byte outside of a chunk's data. \returns whether it is valid.
  auto read(char Byte) -> bool;

  State m_State = State::Size;
  std::uint64_t m_DataBytes = 0; ///< Of the chunk that are still to come.
  bool m_AfterCarriageReturn = false;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_CHUNKCHECK_H
