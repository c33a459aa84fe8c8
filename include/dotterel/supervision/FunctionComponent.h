//===- FunctionComponent.h - Component from functions -----------*- C++ -*-===//
///
/// \file
/// Declares a component whose start, stop and reset are function objects.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SUPERVISION_FUNCTIONCOMPONENT_H
#define DOTTEREL_SUPERVISION_FUNCTIONCOMPONENT_H

#include "dotterel/supervision/Supervisor.h"

#include <functional>
#include <string>
#include <utility>

namespace dotterel {

struct FunctionComponentOptions {
  std::string m_Name;
  std::function<void()> m_Start;
  std::function<void()> m_Reset;
  /// Runs before the reset in stop(), and calls its argument when it is done.
  /// If empty, stop() only resets.
  std::function<void(std::function<void()>)> m_Stop;
};

/// Implements Component with function objects.
class FunctionComponent final : public Component {
public:
  explicit FunctionComponent(FunctionComponentOptions Options)
      : m_Options(std::move(Options)) {}

  [[nodiscard]] auto name() const -> std::string override {
    return m_Options.m_Name;
  }
  auto start() -> void override { m_Options.m_Start(); }
  auto reset() -> void override { m_Options.m_Reset(); }

  auto stop(std::function<void()> Done) -> void override {
    auto Finish = [this, Done = std::move(Done)] {
      m_Options.m_Reset();
      Done();
    };
    if (m_Options.m_Stop)
      m_Options.m_Stop(Finish);
    else
      Finish();
  }

private:
  FunctionComponentOptions m_Options;
};

} // namespace dotterel

#endif // DOTTEREL_SUPERVISION_FUNCTIONCOMPONENT_H
