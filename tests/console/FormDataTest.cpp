#include "console/FormData.h"

#include "console/Base64Url.h"
#include "console/HtmlWriter.h"
#include "support/TestMain.h"

#include <CppUTest/TestHarness.h>

using namespace parsleyring;

TEST_GROUP(FormData){static std::string problem(const std::string &Encoded){
    try {FormData::parse(Encoded);
}
catch (const FormError &Error) {
  return Error.what();
}
return "";
}
}
;

// Guards against entered text that form decoding changes.
TEST(FormData, Decoding) {
  FormData Data = FormData::parse("a=1+2%2B3&b=&c&d=%C3%A9%F0%9F%8C%BF%0D%0A");
  STRCMP_EQUAL("1 2+3", Data.required("a").c_str());
  CHECK(Data.has("b") && Data.has("c") && !Data.has("e"));
  STRCMP_EQUAL("\xc3\xa9\xf0\x9f\x8c\xbf\r\n", Data.value("d").c_str());
}

// Guards against accepting malformed forms, and against error messages that do
// not name the field.
TEST(FormData, MalformedForms) {
  for (const char *Encoded :
       {"a=%", "a=%4", "a=%4x", "a=%00", "a=%1b", "a=%7F", "a=%80", "a=%C3",
        "a=%C0%80", "a=%E0%80%80", "a=%ED%A0%80", "a=%F4%90%80%80", "a=%FF",
        "a=1&a=2", "a=1&%61=1"})
    CHECK_TEXT(problem(Encoded).find("field \"a\"") == 0, Encoded);
  CHECK(problem("%ff=1").find("malformed name") != std::string::npos);
  std::string Many;
  for (int Count = 0; Count <= 20000; ++Count)
    Many += std::to_string(Count) + "&";
  CHECK(problem(Many).find("more than 20000 fields") != std::string::npos);
  STRCMP_EQUAL("", problem("").c_str());
  STRCMP_EQUAL("", problem("&&a=1&").c_str());
}

// Guards against HTML injection in content and in attributes.
TEST(FormData, ShownTextIsEscaped) {
  HtmlWriter Out;
  std::string Text = "<a href='x'>\"&\"</a>";
  Out << "<b>" << Text << "</b>" << 5u << std::string_view("<");
  Out.hiddenInput("n\"", Text);
  STRCMP_EQUAL("<b>&lt;a href=&#39;x&#39;&gt;&quot;&amp;&quot;&lt;/a&gt;</b>5"
               "&lt;<input type=\"hidden\" name=\"n&quot;\" value=\"&lt;a "
               "href=&#39;x&#39;&gt;&quot;&amp;&quot;&lt;/a&gt;\">\n",
               Out.html().c_str());
}

// Guards against drafts that Base64 encoding and decoding damages.
TEST(FormData, Base64UrlRoundTrip) {
  std::string Bytes;
  for (int Code = 0; Code < 300; ++Code) {
    STRCMP_EQUAL("", decodeBase64Url(encodeBase64Url("")).value().c_str());
    CHECK(decodeBase64Url(encodeBase64Url(Bytes)) == Bytes);
    Bytes += static_cast<char>(Code * 7);
  }
  STRCMP_EQUAL("-_-_", encodeBase64Url("\xfb\xff\xbf").c_str());
  for (const char *Text : {"a", "abcde", "ab+d", "ab/d", "ab==", "ab d"})
    CHECK_FALSE(decodeBase64Url(Text).has_value());
}

PARSLEYRING_TEST_MAIN
