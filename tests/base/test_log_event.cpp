// Lines of the log.
#include "base/log_event.hpp"

// Criterion's macros get in the way of Boost's headers, so it comes last.
#include <criterion/criterion.h>

using namespace indigohill;

Test(log, a_line_stays_one_json_string) { cr_assert_eq(base::quoted("a\"b\\c\nd"), "\"a\\\"b\\\\c\\u000ad\""); }
