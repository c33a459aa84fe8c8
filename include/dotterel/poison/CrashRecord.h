//===- CrashRecord.h - Stored evidence about crashes ------------*- C++ -*-===//
///
/// \file
/// The form in which a process stores its evidence about requests that crash
/// backend servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_POISON_CRASHRECORD_H
#define DOTTEREL_POISON_CRASHRECORD_H

#include "dotterel/poison/CrashRegistry.h"

#include <string>
#include <vector>

namespace dotterel {

/// A stored record.
struct CrashRecord {
  Duration m_Age{}; ///< Since it was written.
  std::vector<CrashReport> m_Reports;
};

/// Returns a JSON document with the reports of one moment, \p Written. Ages are
/// stored as calendar times, so that they go on while no process runs.
auto encodeCrashRecord(const std::vector<CrashReport> &Reports,
                       WallTime Written) -> std::string;

/// Returns the record in a document, with ages at \p Now. Times that lie in the
/// future, by the reader's clock, have the age zero.
/// \throws ProtocolError 301 if the document cannot be decoded.
auto decodeCrashRecord(const std::string &Document, WallTime Now)
    -> CrashRecord;

} // namespace dotterel

#endif // DOTTEREL_POISON_CRASHRECORD_H
