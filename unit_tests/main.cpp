#define BOOST_TEST_MODULE nutmegarch
#include <boost/test/unit_test.hpp>
