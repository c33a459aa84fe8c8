#include "dotterel/base/Errors.h"

#include <fmt/format.h>

namespace dotterel {

Error::Error(std::string_view Class, int Id, std::string_view Text)
    : std::runtime_error(fmt::format("[dotterel.{}.{}] {}", Class, Id, Text)),
      m_Id(Id) {}

} // namespace dotterel
