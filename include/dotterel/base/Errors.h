//===- Errors.h - Exception classes -----------------------------*- C++ -*-===//
///
/// \file
/// Exception classes of the project. Each message has the form
/// `[dotterel.<class>.<id>] <text>`; the ids are listed with each class.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_ERRORS_H
#define DOTTEREL_BASE_ERRORS_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace dotterel {

/// Base class of all exceptions that the project throws.
class Error : public std::runtime_error {
public:
  /// Returns the number that identifies the error within its class.
  [[nodiscard]] auto id() const -> int { return m_Id; }

protected:
  Error(std::string_view Class, int Id, std::string_view Text);

private:
  int m_Id;
};

/// Thrown for invalid flags or environment variables.
///
/// 101: one or more settings have values that are not allowed
/// 102: the command line cannot be parsed
class SettingsError : public Error {
public:
  SettingsError(int Id, std::string_view Text)
      : Error("settings_error", Id, Text) {}
};

/// Thrown for an invalid configuration document or configuration change.
///
/// 201: malformed document
/// 202: a value is out of range or refers to an unknown object
/// 203: the change conflicts with an earlier accepted change
class ConfigurationError : public Error {
public:
  ConfigurationError(int Id, std::string_view Text)
      : Error("configuration_error", Id, Text) {}
};

/// Thrown for a received message that violates its protocol.
///
/// 301: malformed message
class ProtocolError : public Error {
public:
  ProtocolError(int Id, std::string_view Text)
      : Error("protocol_error", Id, Text) {}
};

/// Thrown when an operation of the operating system or of an I/O library fails.
///
/// 401: cannot listen on the address
/// 402: a library could not be initialised
/// 403: cannot connect
/// 404: a file cannot be read or is too large
class IoError : public Error {
public:
  IoError(int Id, std::string_view Text) : Error("io_error", Id, Text) {}
};

} // namespace dotterel

#endif // DOTTEREL_BASE_ERRORS_H
