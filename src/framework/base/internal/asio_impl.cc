// The one place where Boost.Asio's compiled sources are instantiated.
#include <boost/asio/impl/src.hpp>
