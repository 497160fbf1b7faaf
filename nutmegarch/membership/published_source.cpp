#include "nutmegarch/membership/published_source.h"

namespace nutmegarch::membership {

const char* name_of(store_error error) {
  switch (error) {
    case store_error::unavailable:
      return "unavailable";
    case store_error::connection_lost:
      return "connection-lost";
    case store_error::timed_out:
      return "timed-out";
    case store_error::refused:
      return "refused";
    case store_error::era_invalid:
      return "era-invalid";
    case store_error::history_lost:
      return "history-lost";
  }
  return "";
}

}  // namespace nutmegarch::membership
